package h1server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/testutil"
	"yokestall/internal/testutil/enginetest"
	"yokestall/internal/upstream/h1client"
)

// A request whose client disconnects while a connection to the endpoint is being opened is not sent, and opening the
// connection is abandoned at once.
func TestDisconnectDuringConnect(t *testing.T) {
	t.Parallel()
	for name, trailing := range map[string]string{
		"nothing":   "",
		"a request": "GET /x HTTP/1.1\r\nHost: a\r\n\r\n",
		"rubbish":   strings.Repeat("rubbish", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := testutil.Listen(t).(*net.TCPListener)
			raw, err := l.SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			// With a backlog of 0, one connection waits to be accepted, and later ones are established only after it
			// was accepted.
			raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
			first, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer first.Close()
			clock := engine.NewClock()
			cluster, pool := enginetest.OneEndpoint(t, l.Addr().String(), clock, h1client.Options{
				EndpointIdleTimeout: time.Minute, ConnectTimeout: 2 * testutil.WaitTimeout, MaxConnections: 4,
			})
			server := New(routerFunc(func(*http.Request) (ingress.Destination, error) {
				return ingress.Destination{Cluster: cluster, Deadline: time.Hour}, nil
			}), Options{Clock: clock, ConnectionLimits: fewConnections, Log: testutil.Log(t), Strict: true})
			nc, err := net.Dial("tcp", serve(t, server))
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprint(nc, "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: i\r\nX-Timeout-Ms: 3000000\r\n\r\n")
			testutil.Until(t, "a connection to the endpoint to be opened", func() bool { return pool.OpenConnections() == 1 })
			io.WriteString(nc, trailing)
			nc.Close()
			testutil.Until(t, "the connect attempt to be abandoned", func() bool { return pool.OpenConnections() == 0 })
			testutil.Until(t, "the client's connection to be closed", func() bool { return server.Connections() == 0 })
			late, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			late.Close()                                           // the connection that filled the backlog
			l.SetDeadline(time.Now().Add(1500 * time.Millisecond)) // a SYN would be sent again after 1 s
			if late, err = l.Accept(); err == nil {
				if text, _ := io.ReadAll(late); len(text) > 0 {
					t.Errorf("the endpoint received %q, want nothing", text)
				}
				late.Close()
			}
		})
	}
}
