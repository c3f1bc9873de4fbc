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

// Accept listens on loopback, handles each connection on a goroutine of its own and closes it then. Connections end
// with the test, at the latest after WaitTimeout.
func Accept(t testing.TB, handle func(nc net.Conn)) (addr string) {
	l := Listen(t)
	var open sync.Map
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil { // the test has ended
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

// scriptConns is how many connections of a Script a test may leave unread before the server blocks.
const scriptConns = 100

// Script starts a server that reads a request and writes the answer as it is given. It then closes the connection
// if closes is set, or else reads the next request. It sends each connection to conns when it accepts it.
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
