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

// A listener's bounds on heads and on clients that stall, on a socket of both versions: a head over the bound gets
// 431, an upload that stalls 408, and a client that reads nothing of its stream loses its connection, which ends the
// stream at its server.
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
	c := newCellTo(t, webpeer.Protocol{}, webpeer.Protocol{}, nil, nil, listener, b.Addr())
	largeHead := "GET /x HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("v", 8<<10) + "\r\n\r\n"
	if got := exchangeRaw(t, c.addr, largeHead, "\r\n"); !strings.Contains(got, "431") {
		t.Errorf("a head of 8 KiB: %q", got)
	}
	const stalledUpload = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe"
	if got := exchangeRaw(t, c.addr, stalledUpload, "\r\n"); !strings.Contains(got, "408") {
		t.Errorf("an upload that stops: %q", got)
	}
	nc, err := net.Dial("tcp", c.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n") // and takes nothing
	testutil.Wait(t, over, "the stream to end at its server")
}

// A client that renegotiates (TLS 1.2) is ended with an alert, and the next one is served. Go's client can't
// begin a renegotiation, so OpenSSL's does where it is installed; it is ended if it waits.
func TestRenegotiation(t *testing.T) {
	openssl, err := exec.LookPath("openssl")
	if err != nil {
		t.Skip("openssl is not installed")
	}
	b := testutil.StartAppServer(t, "b")
	keys, authority := matrixKeys(t)
	c := newCellTo(t, webpeer.Protocol{TLS: true}, webpeer.Protocol{}, keys, authority, config.Listener{}, b.Addr())
	ctx, cancel := context.WithTimeout(t.Context(), testutil.WaitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, openssl, "s_client", "-connect", c.addr, "-tls1_2")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close() // its end would end the client by itself
	var out strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	io.WriteString(in, "R\n") // its command to renegotiate
	cmd.Wait()
	text := out.String()
	if ctx.Err() != nil || !strings.Contains(text, "RENEGOTIATING") || !strings.Contains(text, "alert") {
		t.Errorf("%v: %s", ctx.Err(), text)
	}
	if resp, _, err := c.exchange("GET", "/x", "", nil, 0); err != nil || resp.StatusCode != 200 {
		t.Errorf("the next client: %v, %v", resp, err)
	}
}
