package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Clients ask over and over, each on a connection that it keeps. Where a close has crossed its
// request a client sends it once more on a new one, as the platform's do.
type Clients struct {
	// Resent counts requests that were sent once more, since a close had crossed them.
	Served, Rejected, Failed, Resent atomic.Int64

	mu   sync.Mutex
	lost []string // requests with no whole answer, and why
	all  sync.WaitGroup
	stop context.CancelFunc
}

// Drive has so many clients ask, with a pause behind each answer, until the context ends.
func Drive(ctx context.Context, addr string, clients int, pause time.Duration) *Clients {
	ctx, stop := context.WithCancel(ctx)
	c := &Clients{stop: stop}
	for i := range clients {
		c.all.Go(func() {
			one := client{addr: addr}
			defer one.close()
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				status, again, err := one.send(id)
				c.record(id, status, again, err)
				if err != nil {
					time.Sleep(5 * time.Millisecond) // the load is steady, not a storm
				}
				time.Sleep(pause)
			}
		})
	}
	return c
}

// Stop ends the clients, each after the answer to its request, and gives the requests that were lost.
func (c *Clients) Stop() (lost []string) {
	c.stop()
	return c.Wait()
}

// Wait waits until all have stopped, and gives the requests that were lost.
func (c *Clients) Wait() (lost []string) {
	c.all.Wait()
	c.stop()
	return c.lost
}

func (c *Clients) record(id string, status int, again bool, err error) {
	if again {
		c.Resent.Add(1)
	}
	switch {
	case err != nil:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lost = append(c.lost, fmt.Sprintf("%s: %v", id, err))
	case status == http.StatusOK:
		c.Served.Add(1)
	case status == http.StatusServiceUnavailable:
		c.Rejected.Add(1)
	default:
		c.Failed.Add(1)
	}
}

type client struct {
	addr string
	conn net.Conn // nil: the next request opens one
	in   *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send makes a request that must not run twice.
func (c *client) send(id string) (status int, again bool, err error) {
	kept := c.conn != nil
	status, err = c.attempt(id)
	if err != nil && kept {
		status, err = c.attempt(id)
		return status, true, err
	}
	return status, false, err
}

func (c *client) attempt(id string) (status int, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.addr, timeout); err != nil {
			c.conn = nil
			return 0, err
		}
		c.in = bufio.NewReader(c.conn)
	}
	c.conn.SetDeadline(time.Now().Add(timeout))
	fmt.Fprintf(c.conn, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 3000\r\nContent-Length: 2\r\n\r\nhi", id)
	resp, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil || resp.Close {
		c.close()
	}
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
