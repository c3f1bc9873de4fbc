package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is the format of every request; its argument is the request ID.
const request = "POST /pay HTTP/1.1\r\n" +
	"Host: x\r\n" +
	"X-Request-ID: %s\r\n" +
	"X-Tenant-Id: acme\r\n" +
	"X-Timeout-Ms: 3000\r\n" +
	"Content-Length: 2\r\n" +
	"\r\n" +
	"hi"

// client is an HTTP/1.1 client that sends one request at a time and reuses its connection.
type client struct {
	addr   string
	conn   net.Conn // nil if the next request has to open a connection
	reader *bufio.Reader
}

// close closes the connection, if there is one.
func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends a request that is not idempotent. If the request fails on a reused connection, send sends the request once
// more on a new connection.
func (c *client) send(id string) (status int, resent bool, err error) {
	reused := c.conn != nil
	status, err = c.attempt(id)
	if err != nil && reused {
		status, err = c.attempt(id)
		return status, true, err
	}
	return status, false, err
}

// attempt sends a request once and reads the complete response. After an error the connection is closed.
func (c *client) attempt(id string) (status int, err error) {
	if c.conn == nil {
		if err := c.connect(); err != nil {
			return 0, err
		}
	}
	c.conn.SetDeadline(time.Now().Add(timeout))
	fmt.Fprintf(c.conn, request, id)
	resp, err := http.ReadResponse(c.reader, nil)
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

// connect opens a connection to the node.
func (c *client) connect() error {
	conn, err := net.DialTimeout("tcp", c.addr, timeout)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}
