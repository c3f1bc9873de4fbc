// Package crowd opens many connections at once whose clients cost a server memory: they send a head of many fields, stop
// in the middle of a request, or write or read slowly. The clients are bounded in number, bytes and time.
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

// Kind is what the clients of a crowd do.
type Kind string

// The kinds of crowds.
const (
	ManyFields     Kind = "heads of many fields"            // complete heads of as many short fields as fit
	UnendedHeads   Kind = "heads of many fields, not ended" // the same without their end
	HalfRequests   Kind = "half of a large request"         // stop after half of the body
	SlowRequests   Kind = "large requests, slowly"          // the body at slowRate
	SlowReaders    Kind = "long answers, read slowly"       // read at slowRate
	ReadNothing    Kind = "long answers, not read"          // read nothing
	ManyFieldsBody Kind = "many fields and half of a body"  // complete head of many fields, half of the body
)

// Kinds lists all kinds.
func Kinds() []Kind {
	return []Kind{ManyFields, UnendedHeads, ManyFieldsBody, HalfRequests, SlowRequests, SlowReaders, ReadNothing}
}

const (
	// bodyBytes is the length of a large request's body.
	bodyBytes = 900_000
	// slowRate is the rate of slow clients, in bytes per second.
	slowRate = 32 << 10
	// slowStep is the time between two writes or reads of a slow client.
	slowStep = 100 * time.Millisecond
	// pause is how long a client waits after the end of its connection before it opens the next one.
	pause = time.Second
)

// Options configure a crowd.
type Options struct {
	Addr    string // address of the server
	Kind    Kind
	Clients int
	// HeadBytes is the size of a head of many fields, in bytes.
	HeadBytes int
	// LongAnswer is the target of a GET request with a long answer, Upload that of a POST request.
	LongAnswer, Upload string
}

// Crowd is a number of clients that run until Stop is called. A client whose connection ends opens another one.
type Crowd struct {
	Opened atomic.Int64 // number of connections that were opened

	options Options
	stop    context.CancelFunc
	running sync.WaitGroup
	lastID  atomic.Int64
}

// Start starts the clients of a crowd. The caller must call Stop.
func Start(o Options) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{options: o, stop: cancel}
	for range o.Clients {
		c.running.Go(func() {
			for ctx.Err() == nil {
				c.runClient(ctx)
				sleep(ctx, pause)
			}
		})
	}
	return c
}

// Stop ends the clients.
func (c *Crowd) Stop() {
	c.stop()
	c.running.Wait()
}

// runClient opens a connection and uses it until the server ends it or ctx ends.
func (c *Crowd) runClient(ctx context.Context) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.options.Addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	c.Opened.Add(1)
	half := make([]byte, bodyBytes/2)
	switch c.options.Kind {
	case ManyFields:
		io.WriteString(conn, c.head("GET", c.options.LongAnswer, 0, true)+"\r\n")
	case UnendedHeads:
		io.WriteString(conn, c.head("GET", c.options.LongAnswer, 0, true))
	case ManyFieldsBody:
		io.WriteString(conn, c.head("POST", c.options.Upload, bodyBytes, true)+"\r\n")
		conn.Write(half)
	case HalfRequests:
		io.WriteString(conn, c.head("POST", c.options.Upload, bodyBytes, false)+"\r\n")
		conn.Write(half)
	case SlowRequests:
		io.WriteString(conn, c.head("POST", c.options.Upload, bodyBytes, false)+"\r\n")
		writeSlowly(ctx, conn)
	case SlowReaders:
		io.WriteString(conn, c.head("GET", c.options.LongAnswer, 0, false)+"\r\n")
		readSlowly(ctx, conn)
		return
	case ReadNothing:
		io.WriteString(conn, c.head("GET", c.options.LongAnswer, 0, false)+"\r\n")
		<-ctx.Done()
		return
	}
	awaitEnd(conn)
}

// head returns a request's head without the empty line that ends it, with as many short fields as fit if manyFields is set.
func (c *Crowd) head(method, target string, length int, manyFields bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: x\r\nX-Request-ID: crowd-%d\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 8000\r\n",
		method, target, c.lastID.Add(1))
	if length > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	for i := 0; manyFields && b.Len() < c.options.HeadBytes-len("zzzz:\r\n\r\n"); i++ {
		fmt.Fprintf(&b, "%s:\r\n", fieldName(i))
	}
	return b.String()
}

// fieldName returns the short name of a field with the index i.
func fieldName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := []byte{'z'}
	for ; i > 0; i /= len(letters) {
		name = append(name, letters[i%len(letters)])
	}
	return string(name)
}

// awaitEnd reads answers until the server ends the connection or the connection is closed.
func awaitEnd(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return
		}
	}
}

// writeSlowly writes a body at slowRate.
func writeSlowly(ctx context.Context, conn net.Conn) {
	step := make([]byte, int(slowRate*slowStep.Seconds()))
	for sent := 0; sent < bodyBytes; sent += len(step) {
		if _, err := conn.Write(step[:min(len(step), bodyBytes-sent)]); err != nil || !sleep(ctx, slowStep) {
			return
		}
	}
}

// readSlowly reads at slowRate until the connection ends.
func readSlowly(ctx context.Context, conn net.Conn) {
	step := make([]byte, int(slowRate*slowStep.Seconds()))
	for {
		if _, err := conn.Read(step); err != nil || !sleep(ctx, slowStep) {
			return
		}
	}
}

// sleep waits for d. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
