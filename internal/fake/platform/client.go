package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is each request, as a format for its id.
const request = "POST /pay HTTP/1.1\r\n" +
	"Host: x\r\n" +
	"X-Request-ID: %s\r\n" +
	"X-Tenant-Id: acme\r\n" +
	"X-Timeout-Ms: 3000\r\n" +
	"Content-Length: 2\r\n" +
	"\r\n" +
	"hi"

// client is one of the clients.
type client struct {
	addr string
	conn net.Conn // nil: the next request opens one
	in   *bufio.Reader
}

// close closes the connection, if there is one.
func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends an unsafe request. If it fails on a connection that was used before, it is sent once more on a new one.
func (c *client) send(id string) (status int, resent bool, err error) {
	reused := c.conn != nil
	status, err = c.attempt(id)
	if err != nil && reused {
		status, err = c.attempt(id)
		return status, true, err
	}
	return status, false, err
}

// attempt sends a request once and reads the complete answer.
func (c *client) attempt(id string) (status int, err error) {
	if c.conn == nil {
		if err := c.connect(); err != nil {
			return 0, err
		}
	}
	c.conn.SetDeadline(time.Now().Add(timeout))
	fmt.Fprintf(c.conn, request, id)
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

// connect opens a connection.
func (c *client) connect() error {
	conn, err := net.DialTimeout("tcp", c.addr, timeout)
	if err != nil {
		return err
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return nil
}
