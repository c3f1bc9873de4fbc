// Command 1 is the driver of case 1: some servers send a second copy of an answer a few milliseconds late, over a link
// between two data centres. It checks that each client gets the answer that was made for its request.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/review/rig"
)

// The figures of the small deployment: ferry-cz.toml, and the pages that claim.txt quotes.
const (
	serversPerZone = 6
	nearDelay      = 200 * time.Microsecond // one way, same data centre: 0.12 to 0.33 ms
	farDelay       = 10 * time.Millisecond  // one way, between the data centres: 7 to 13 ms
	rate           = 300                    // requests a second to this node: 200 to 320
	length         = 40 * time.Second
	copyShare      = 0.02 // of the answers have a second copy behind them
	copyLeast      = 2 * time.Millisecond
	copyMost       = 8 * time.Millisecond
	deadline       = 750 * time.Millisecond
)

const program = `
[listen]
address = "%s"
[upstream]
idle = "5s"
connect_timeout = "120ms"
[files]
clusters = "clusters"
[limits]
attempts = 6
max_retry_after = "400ms"
[fleet]
nodes = 1
zone = "praha"
cold_from = 0.13
cold_for = "23s"
fall_multiple = 4
fall_for = "2s"
[[class]]
name = "space-check"
effect = "safe"
deadline = "750ms"
aim = "300ms"
worth = 1
[[class]]
name = "cargo-update"
effect = "keyed"
scope = "zone"
window = "750ms"
deadline = "750ms"
aim = "300ms"
worth = 2
[[host]]
name = "ferry"
[[host.route]]
name = "checks"
prefix = "/space-check"
class = "space-check"
cluster = "booking-web"
[[host.route]]
name = "updates"
prefix = "/cargo-update"
class = "cargo-update"
cluster = "booking-web"
`

// theCase is the state of the run.
type theCase struct {
	*rig.Run
	copies, whole, foreign atomic.Int64
}

func main() {
	c := &theCase{Run: rig.Start()}
	var cluster strings.Builder
	cluster.WriteString("[cluster]\nname = \"booking-web\"\n")
	for i := range 2 * serversPerZone {
		zone, delay := "praha", nearDelay
		if i >= serversPerZone {
			zone, delay = "brno", farDelay
		}
		name := fmt.Sprintf("app-%d", i+1)
		address := c.StartLink(c.StartRawServer(func(conn net.Conn) { c.serve(name, conn) }), delay)
		fmt.Fprintf(&cluster, "[[endpoint]]\nid = %q\naddress = %q\nzone = %q\ncell = %d\n", name, address, zone, i/3)
	}
	fmt.Fprintf(&cluster, "[end]\nendpoints = %d\n", 2*serversPerZone)
	c.WriteFile("clusters/booking-web.toml", cluster.String())
	address := c.FreeAddress()
	path := c.WriteFile("yokestall.toml", fmt.Sprintf(program, address))
	p := c.Launch("yokestall", "exec bin/yokestall serve -c "+path, nil)
	c.AwaitServing(address, p)
	c.load(address)
	c.Logf("%d whole answers with status 200, %d second copies sent, %d answers of another request",
		c.whole.Load(), c.copies.Load(), c.foreign.Load())
	switch {
	case c.whole.Load() == 0 || c.Trouble && c.copies.Load() == 0:
		c.Fatal("no answers, or no second copies")
	case c.foreign.Load() > 0:
		c.End(rig.Broken)
	}
	c.End(rig.Held)
}

// serve is a server's side of a connection: one request at a time, each with its own answer. With the trouble, a share of
// the answers is sent a second time, some milliseconds late and only when nothing else waits on the connection.
func (c *theCase) serve(name string, conn net.Conn) {
	from := bufio.NewReader(conn)
	for {
		q, err := rig.ReadRequest(from)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
		body := "made for " + q.ID
		answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		c.Logf("%s: ran and answers id=%s", name, q.ID)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		late := copyLeast + rand.N(copyMost-copyLeast)
		if c.Trouble && rand.Float64() < copyShare && rig.NothingWaits(conn, from, late) {
			c.copies.Add(1)
			c.Logf("%s: second copy of the answer to id=%s, %.1f ms late", name, q.ID, 1e3*late.Seconds())
			conn.Write(answer)
		}
	}
}

// load sends requests at the deployment's rate and compares each answer with its request.
func (c *theCase) load(address string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	var clients sync.WaitGroup
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("r%d", n)
		q := rig.Request{Method: "GET", Target: "/space-check", ID: id, Timeout: deadline}
		if rand.Float64() < 0.45 {
			q.Method, q.Target, q.Key, q.Body = "POST", "/cargo-update", "key-"+id, "cargo"
		}
		clients.Go(func() {
			a := c.SendBy(client, address, q)
			if a.Status != http.StatusOK {
				return
			}
			c.whole.Add(1)
			if a.Body != "made for "+id {
				c.foreign.Add(1)
				c.Logf("FOREIGN: the client of id=%s was served %q", id, a.Body)
			}
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
	}
	clients.Wait()
}
