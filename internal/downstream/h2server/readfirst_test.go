package h2server_test

//lint:file-ignore SA1019 golang.org/x/net/http2 writes the frames of a client

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"yokestall/internal/connlimit"
	"yokestall/internal/downstream/h1server"
	"yokestall/internal/engine"
	"yokestall/internal/fake/rawpeer"
	"yokestall/internal/testutil"
)

// firstRequest returns the bytes of a new connection: the preface, settings and a request.
func firstRequest(t *testing.T) []byte {
	out := bytes.NewBufferString(http2.ClientPreface)
	f := http2.NewFramer(out, nil)
	if err := f.WriteSettings(); err != nil {
		t.Fatal(err)
	}
	if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, EndHeaders: true, EndStream: true,
		BlockFragment: rawpeer.Fields(":method", "GET", ":scheme", "http", ":authority", "a", ":path", "/x")}); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Guards against a request that was read and gets no answer, because its connection counts as idle: its first bytes came in
// one piece, so that no more came after HTTP/2 had begun.
func TestFirstRequestInOnePieceIsNotIdle(t *testing.T) {
	for _, withTLS := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %v", withTLS), func(t *testing.T) {
			router := &heldUpRouter{entered: make(chan struct{}, 1), release: make(chan struct{})}
			certificates := httptest.NewTLSServer(nil)
			t.Cleanup(certificates.Close)
			server, addr := serveWith(t, router, h1server.Options{
				Clock: engine.NewClock(), TLS: serverTLS(certificates, withTLS),
				ConnectionLimits: connlimit.Limits{Active: 4, New: 4},
			})
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
			if withTLS {
				config := certificates.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
				config.ServerName, config.NextProtos = "example.com", []string{"h2"}
				nc = tls.Client(nc, config)
			}
			if _, err := nc.Write(firstRequest(t)); err != nil {
				t.Fatal(err)
			}
			testutil.Wait(t, router.entered, "the request to reach the router")
			server.CloseIdleConnections()
			close(router.release)
			f := http2.NewFramer(nc, nc)
			for {
				frame, err := f.ReadFrame()
				if err != nil {
					t.Fatalf("no answer: %v; ends: %v", err, server.ConnectionEnds())
				}
				if h, ok := frame.(*http2.HeadersFrame); ok && h.StreamID == 1 {
					break
				}
			}
		})
	}
}
