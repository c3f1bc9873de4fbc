package compare

import (
	"bufio"
	"bytes"
	"net"
	"sync"
	"testing"

	"yokestall/internal/testutil"
)

// responseBody is the size in bytes of the response body of a raw server.
const responseBody = 256

const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 256\r\n\r\n"

// startRawServer starts a server that uses as little CPU time as possible and returns its address. The server answers each
// request head with the same bytes.
func startRawServer(tb testing.TB) string {
	l := testutil.Listen(tb)
	var conns sync.Map
	tb.Cleanup(func() {
		l.Close()
		conns.Range(func(c, _ any) bool {
			c.(net.Conn).Close()
			return true
		})
	})
	response := append([]byte(responseHead), bytes.Repeat([]byte("x"), responseBody)...)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns.Store(conn, nil)
			go func() {
				defer conn.Close()
				defer conns.Delete(conn)
				serveRaw(conn, response)
			}()
		}
	}()
	return l.Addr().String()
}

// serveRaw answers each request head on a connection until the connection ends.
func serveRaw(conn net.Conn, response []byte) {
	in := bufio.NewReader(conn)
	for {
		if err := skipHead(in); err != nil {
			return
		}
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// skipHead reads a message head up to and including the empty line at its end.
func skipHead(in *bufio.Reader) error {
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == len("\r\n") {
			return nil
		}
	}
}
