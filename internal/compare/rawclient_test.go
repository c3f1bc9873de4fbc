package compare

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"testing"
)

var rawRequest = []byte("GET /hotels/7/rooms?from=2026-12-01 HTTP/1.1\r\nHost: rates.example.org\r\n" +
	"User-Agent: load\r\nAccept: */*\r\nX-Timeout-Ms: 4000\r\n\r\n")

// rawClient is a connection that sends one request after another.
type rawClient struct {
	net.Conn
	in *bufio.Reader
}

func dialRaw(tb testing.TB, addr string) *rawClient {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	return &rawClient{conn, bufio.NewReader(conn)}
}

// send sends a request and reads the response, which must have status 200 and the length of the response of a raw server.
func (c *rawClient) send() error {
	if _, err := c.Write(rawRequest); err != nil {
		return err
	}
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(line, []byte("HTTP/1.1 200")) {
		return fmt.Errorf("got status line %q, want status 200", line)
	}
	if err := skipHead(c.in); err != nil {
		return err
	}
	_, err = c.in.Discard(responseBody)
	return err
}
