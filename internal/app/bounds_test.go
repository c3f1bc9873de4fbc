package app

import (
	"context"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/testutil"
)

// The limits of a listener that serves HTTP/1.1 and HTTP/2: a request head over the limit is answered with 431, an upload
// that stalls with 408, and a client that reads nothing of its stream loses its connection, which ends the stream at the
// server.
func TestListenerBounds(t *testing.T) {
	over := make(chan struct{}, 1)
	b := testutil.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		for part := make([]byte, 64<<10); ; {
			if _, err := w.Write(part); err != nil {
				over <- struct{}{}
				return
			}
		}
	})
	listener := config.Listener{HTTP2: 10, MaxHead: 1 << 10, Stall: 100 * time.Millisecond}
	c := newCellWithServers(t, webpeer.Protocol{}, webpeer.Protocol{}, nil, nil, listener, b.Addr())
	largeHead := "GET /x HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("v", 8<<10) + "\r\n\r\n"
	if got := exchangeRaw(t, c.addr, largeHead, "\r\n"); !strings.Contains(got, "431") {
		t.Errorf("a head of 8 KiB: answer %q, want status 431", got)
	}
	const stalledUpload = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe"
	if got := exchangeRaw(t, c.addr, stalledUpload, "\r\n"); !strings.Contains(got, "408") {
		t.Errorf("an upload that stalls: answer %q, want status 408", got)
	}
	nc, err := net.Dial("tcp", c.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n") // the client reads nothing of the answer
	testutil.Wait(t, over, "the stream to end at its server")
}

// A client that renegotiates (TLS 1.2) gets an alert and loses its connection, and the next client is served. Go's client
// can't start a renegotiation, so the test uses OpenSSL's client and is skipped where that is not installed.
func TestRenegotiation(t *testing.T) {
	openssl, err := exec.LookPath("openssl")
	if err != nil {
		t.Skip("openssl is not installed")
	}
	b := testutil.StartAppServer(t, "b")
	keys, authority := matrixKeys(t)
	c := newCellWithServers(t, webpeer.Protocol{TLS: true}, webpeer.Protocol{}, keys, authority, config.Listener{}, b.Addr())
	ctx, cancel := context.WithTimeout(t.Context(), testutil.WaitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, openssl, "s_client", "-connect", c.addr, "-tls1_2")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close() // closed late, since the end of its input would end the client
	var out strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	io.WriteString(in, "R\n") // the client's command to renegotiate
	cmd.Wait()
	text := out.String()
	if ctx.Err() != nil || !strings.Contains(text, "RENEGOTIATING") || !strings.Contains(text, "alert") {
		t.Errorf("context error %v, client's output %s; want a renegotiation that ends with an alert", ctx.Err(), text)
	}
	if resp, _, err := c.exchange("GET", "/x", "", nil, 0); err != nil || resp.StatusCode != 200 {
		t.Errorf("the next client: answer %v, error %v; want status 200", resp, err)
	}
}
