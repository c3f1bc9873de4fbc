package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// FloodKind is what the clients of a flood send.
type FloodKind string

// The kinds of floods over HTTP/1.1. All but the last send complete requests and keep their connections.
const (
	HealthChecks   FloodKind = "health checks"
	NewClasses     FloodKind = "new classes"
	NewTenants     FloodKind = "new tenants"
	InvalidIDs     FloodKind = "invalid IDs"
	FieldFlood     FloodKind = "heads of many fields"
	SmallRequests  FloodKind = "small requests"
	NoTime         FloodKind = "requests with no time left"
	NewPaths       FloodKind = "new paths and hosts"
	InvalidRequest FloodKind = "invalid requests"
)

// FloodKinds lists all kinds.
func FloodKinds() []FloodKind {
	return []FloodKind{
		HealthChecks, NewClasses, NewTenants, InvalidIDs, FieldFlood, SmallRequests, NoTime, NewPaths, InvalidRequest,
	}
}

// Flood is a number of clients that send requests at full speed, each on a connection of its own, until Stop is called.
type Flood struct {
	Sent atomic.Int64 // number of requests that were sent

	stop    context.CancelFunc
	running sync.WaitGroup
}

// FloodOptions configure a flood.
type FloodOptions struct {
	Addr    string // address of the server
	Kind    FloodKind
	Clients int
	// Pipelined is the number of requests that a client sends before it reads the answers, at least 1.
	Pipelined int
	// FullSpeed makes the clients write on, Pipelined requests at a time, as fast as the server reads. They read the answers
	// beside that.
	FullSpeed bool
	// Target is the target of a GET request that is served.
	Target string
}

// StartFlood starts the clients of a flood. The caller must call Stop.
func StartFlood(o FloodOptions) *Flood {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Flood{stop: cancel}
	for i := range o.Clients {
		f.running.Go(func() {
			for n := 0; ctx.Err() == nil; {
				n = f.runClient(ctx, o, i, n)
				sleep(ctx, time.Millisecond) // only after the end of a connection
			}
		})
	}
	return f
}

// Stop ends the clients.
func (f *Flood) Stop() {
	f.stop()
	f.running.Wait()
}

// runClient sends requests on one connection until it ends. n is the number of the next request; runClient returns the
// number of the one after the last.
func (f *Flood) runClient(ctx context.Context, o FloodOptions, client, n int) int {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", o.Addr)
	if err != nil {
		return n
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if o.FullSpeed {
		go io.Copy(io.Discard, conn) // ends with the connection
	}
	in := bufio.NewReader(conn)
	for {
		var text strings.Builder
		for range o.Pipelined {
			text.WriteString(floodRequest(o, client, n))
			n++
		}
		if _, err := io.WriteString(conn, text.String()); err != nil {
			return n
		}
		f.Sent.Add(int64(o.Pipelined))
		if o.FullSpeed {
			continue
		}
		for range o.Pipelined {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return n
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
				return n
			}
		}
	}
}

// manyFields returns the fields of a FieldFlood. They are made once, since the clients that make them share their process with
// those whose times are measured.
var manyFields = sync.OnceValue(func() string {
	var fields strings.Builder
	for i := range 3000 {
		fields.WriteString(fieldName(i) + ":\r\n")
	}
	return fields.String()
})

// floodRequest returns the text of a flood's request n of a client.
func floodRequest(o FloodOptions, client, n int) string {
	id, target, more := fmt.Sprintf("flood-%d-%d", client, n), o.Target, ""
	host, timeout := "x", time.Second
	switch o.Kind {
	case HealthChecks:
		target = "/health/ready"
	case NewClasses:
		target = fmt.Sprintf("/class-%d-%d", client, n)
	case NewTenants:
		more = fmt.Sprintf("X-Tenant-Id: tenant-%d-%d\r\n", client, n)
	case InvalidIDs:
		id += " x"
	case NoTime:
		timeout = time.Millisecond
	case NewPaths:
		target, host = fmt.Sprintf("%s/%d/%d?obj=%d", target, client, n, n), fmt.Sprintf("host-%d-%d", client, n)
	case FieldFlood:
		more = manyFields()
	case InvalidRequest:
		return "GET " + target + " HTTP/1.1\r\nHost x\r\n\r\n"
	}
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n%s\r\n",
		target, host, id, timeout.Milliseconds(), more)
}
