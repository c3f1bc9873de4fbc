package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// OrdinaryOptions configure clients that send one request after the other.
type OrdinaryOptions struct {
	Addr     string
	Method   string // GET if it is empty; no request has a body
	Target   string // target of a request that is served
	Clients  int
	Requests int           // number of requests of each client
	Every    time.Duration // time between two requests of a client
	Timeout  time.Duration // what a client waits for an answer
	Grace    time.Duration // how much later than Timeout an answer may come
}

// OrdinaryReport is what ordinary clients have got.
type OrdinaryReport struct {
	Requests, Served int
	Refused          int // answered with another status than 200, in time
	Late             int // answered later than Timeout and Grace, or not at all
	Slowest          time.Duration
}

// String returns the report for messages.
func (r OrdinaryReport) String() string {
	return fmt.Sprintf("%d of %d requests served, %d refused, %d late or lost, the slowest after %v",
		r.Served, r.Requests, r.Refused, r.Late, r.Slowest)
}

// RunOrdinary runs ordinary clients, each on a connection that it keeps as long as the server does.
func RunOrdinary(o OrdinaryOptions) (report OrdinaryReport) {
	var mu sync.Mutex
	var running sync.WaitGroup
	for i := range o.Clients {
		running.Go(func() {
			c := ordinaryClient{options: o, number: i}
			defer c.close()
			for n := range o.Requests {
				status, took := c.exchange(n)
				mu.Lock()
				report.add(o, status, took)
				mu.Unlock()
				time.Sleep(o.Every)
			}
		})
	}
	running.Wait()
	return report
}

// add counts an answer. A status of 0 stands for none.
func (r *OrdinaryReport) add(o OrdinaryOptions, status int, took time.Duration) {
	r.Requests++
	r.Slowest = max(r.Slowest, took)
	switch {
	case status == 0 || took > o.Timeout+o.Grace:
		r.Late++
	case status == http.StatusOK:
		r.Served++
	default:
		r.Refused++
	}
}

// ordinaryClient is a client with a connection of its own.
type ordinaryClient struct {
	options OrdinaryOptions
	number  int
	conn    net.Conn // nil: the next request opens one
	reader  *bufio.Reader
}

// exchange sends a request and reads the answer. A request that finds its kept connection closed is sent once more on a new one.
func (c *ordinaryClient) exchange(n int) (status int, took time.Duration) {
	start := time.Now()
	kept := c.conn != nil
	status = c.tryExchange(n)
	if status == 0 && kept {
		status = c.tryExchange(n)
	}
	return status, time.Since(start)
}

// tryExchange sends a request on the client's connection, and returns the status of the answer, or 0 if none came.
func (c *ordinaryClient) tryExchange(n int) (status int) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.options.Addr, c.options.Timeout)
		if err != nil {
			return 0
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(time.Now().Add(10 * c.options.Timeout))
	method, length := http.MethodGet, ""
	if c.options.Method != "" && c.options.Method != method {
		method, length = c.options.Method, "Content-Length: 0\r\n"
	}
	id := fmt.Sprintf("ordinary-%d-%d-%d", c.number, n, time.Now().UnixNano())
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n%s\r\n",
		method, c.options.Target, id, c.options.Timeout.Milliseconds(), length)
	if err != nil {
		c.close()
		return 0
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return 0
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
		c.close()
	}
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// close closes the client's connection.
func (c *ordinaryClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
