package rig

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// StartRawServer starts a stand-in for a server that serves each connection by a function, and returns its address.
func (r *Run) StartRawServer(serve func(c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fatal("server: %v", err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// ReadRequest reads a request with its body from a connection.
func ReadRequest(from *bufio.Reader) (Request, error) {
	req, err := http.ReadRequest(from)
	if err != nil {
		return Request{}, err
	}
	body, err := io.ReadAll(req.Body)
	return Request{
		Method: req.Method, Target: req.RequestURI, ID: req.Header.Get("X-Request-ID"),
		Tenant: req.Header.Get("X-Tenant-Id"), Key: req.Header.Get("Idempotency-Key"), Body: string(body),
	}, err
}

// NothingWaits reports whether nothing arrives on a connection for a time.
func NothingWaits(c net.Conn, from *bufio.Reader, d time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(d))
	defer c.SetReadDeadline(time.Time{})
	_, err := from.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// StartLink starts a relay to an address that delays all bytes by a time in each direction, and returns its address.
func (r *Run) StartLink(to string, delay time.Duration) string {
	return r.StartRawServer(func(c net.Conn) {
		far, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer far.Close()
		ended := make(chan struct{}, 2)
		go func() { relay(far, c, delay); ended <- struct{}{} }()
		go func() { relay(c, far, delay); ended <- struct{}{} }()
		<-ended
		<-ended
	})
}

// relay copies bytes, each one a delay after it came, and passes on the end.
func relay(to, from net.Conn, delay time.Duration) {
	type piece struct {
		bytes []byte
		due   time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{b[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	time.Sleep(delay)
	to.(*net.TCPConn).CloseWrite()
}
