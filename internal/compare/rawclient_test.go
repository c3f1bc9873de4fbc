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

// send sends a request and reads its response, which must be a raw server's.
func (c *rawClient) send() error {
	if _, err := c.Write(rawRequest); err != nil {
		return err
	}
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(line, []byte("HTTP/1.1 200")) {
		return fmt.Errorf("answer %q", line)
	}
	if err := skipHead(c.in); err != nil {
		return err
	}
	_, err = c.in.Discard(responseBody)
	return err
}
