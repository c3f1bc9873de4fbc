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

// Accept has each connection of a listener handled on a goroutine of its own, and closed then.
// All end with the test, or after Patience.
func Accept(t testing.TB, handle func(nc net.Conn)) (addr string) {
	l := Listen(t)
	var open sync.Map
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil { // the test has ended
				open.Range(func(nc, _ any) bool { nc.(net.Conn).Close(); return true })
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

// Script is a server that reads a request and writes fixed bytes; then it closes, or
// keeps the connection for another request. It tells of its connections.
func Script(t testing.TB, answer string, closes bool) (addr string, conns chan net.Conn) {
	conns = make(chan net.Conn, 100)
	return Accept(t, func(nc net.Conn) {
		conns <- nc
		in := bufio.NewReader(nc)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			io.WriteString(nc, answer)
			if closes {
				return
			}
		}
	}), conns
}
