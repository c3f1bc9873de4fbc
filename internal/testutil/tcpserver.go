package testutil

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Accept starts a server on a loopback address. It calls handle for each connection in a new goroutine, and closes the
// connection when handle returns. Connections are closed when the test ends, and their reads and writes fail after WaitTimeout.
func Accept(t testing.TB, handle func(nc net.Conn)) (addr string) {
	l := Listen(t)
	var open sync.Map
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil { // The test has ended and the listener is closed.
				open.Range(func(nc, _ any) bool {
					nc.(net.Conn).Close()
					return true
				})
				return
			}
			open.Store(nc, nil)
			nc.SetDeadline(time.Now().Add(WaitTimeout))
			go func() {
				defer nc.Close()
				defer open.Delete(nc)
				handle(nc)
			}()
		}
	}()
	return l.Addr().String()
}

// scriptConns is the capacity of the channel of connections that Script returns. The server blocks while the channel is full.
const scriptConns = 100

// Script starts a server that reads a request and then writes answer, byte for byte. If closes is set, the server then closes
// the connection; otherwise it reads the next request. The server sends each accepted connection to conns.
func Script(t testing.TB, answer string, closes bool) (addr string, conns chan net.Conn) {
	conns = make(chan net.Conn, scriptConns)
	return Accept(t, func(nc net.Conn) {
		conns <- nc
		in := bufio.NewReader(nc)
		for {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			io.WriteString(nc, answer)
			if closes {
				return
			}
		}
	}), conns
}
