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
// connection ends at once.
func TestDisconnectDuringConnect(t *testing.T) {
	t.Parallel()
	for name, more := range map[string]string{
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
			// One connection waits to be accepted; the next ones are established only then.
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
			f := New(routerFunc(func(*http.Request) (ingress.Destination, error) {
				return ingress.Destination{Cluster: cluster, Deadline: time.Hour}, nil
			}), Options{Clock: clock, ConnectionLimits: fewConnections, Log: testutil.Log(t), Strict: true})
			nc, err := net.Dial("tcp", serve(t, f))
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprint(nc, "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: i\r\nX-Timeout-Ms: 3000000\r\n\r\n")
			testutil.Until(t, "a connection to be opened", func() bool { return pool.OpenConnections() == 1 })
			io.WriteString(nc, more)
			nc.Close()
			testutil.Until(t, "it to be given up", func() bool { return pool.OpenConnections() == 0 })
			testutil.Until(t, "the client's to be over", func() bool { return f.Connections() == 0 })
			late, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			late.Close()                                           // first
			l.SetDeadline(time.Now().Add(1500 * time.Millisecond)) // the next SYN would come after a second
			if late, err = l.Accept(); err == nil {
				if text, _ := io.ReadAll(late); len(text) > 0 {
					t.Errorf("%q was sent", text)
				}
				late.Close()
			}
		})
	}
}
