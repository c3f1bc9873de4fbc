package tlskeys

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// Guards against handshakes that succeed although the peer's certificate has another name, other roots, another key than the
// pinned one or is missing where one is required; and against handshakes that fail with a valid peer.
func TestVerification(t *testing.T) {
	a, stranger := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	for _, name := range []string{"server.test", "client.test"} {
		if err := a.Write(folder, name, name); err != nil {
			t.Fatal(err)
		}
	}
	os.WriteFile(filepath.Join(folder, "strange.ca"), stranger.PEM, 0o600)
	store, err := Open(folder, "server.test", testutil.Log(t))
	if err != nil {
		t.Fatal(err)
	}
	pin := Pin(store.Set().Pair("server.test").Certificate.Leaf)
	for _, tc := range []struct {
		name   string
		server ServerAuth
		client ClientAuth
		want   string // part of the client's error; "": the handshake succeeds
	}{
		{"matching name and roots", ServerAuth{ServerName: "server.test", Roots: "ca"}, ClientAuth{}, ""},
		{"name that the certificate does not have", ServerAuth{ServerName: "other.test", Roots: "ca"}, ClientAuth{}, "not other.test"},
		{"roots of another authority", ServerAuth{ServerName: "server.test", Roots: "strange"}, ClientAuth{}, "unknown authority"},
		{"root bundle that does not exist", ServerAuth{ServerName: "server.test", Roots: "none"}, ClientAuth{}, "there is no root bundle none"},
		{
			"server's key is pinned", ServerAuth{ServerName: "server.test", Roots: "ca", Pins: []string{pin}},
			ClientAuth{}, "",
		},
		{
			"another key is pinned", ServerAuth{ServerName: "server.test", Roots: "ca", Pins: []string{"x"}},
			ClientAuth{}, "has a pinned key",
		},
		{
			"client presents a certificate", ServerAuth{ServerName: "server.test", Roots: "ca", Certificate: "client.test"},
			ClientAuth{Roots: "ca", Require: true}, "",
		},
		{
			"client presents no certificate and one is required", ServerAuth{ServerName: "server.test", Roots: "ca"},
			ClientAuth{Roots: "ca", Require: true}, "certificate required",
		},
		{"client presents no certificate and none is required", ServerAuth{ServerName: "server.test", Roots: "ca"}, ClientAuth{Roots: "ca"}, ""},
		{
			"client certificate of another authority", ServerAuth{ServerName: "server.test", Roots: "ca", Certificate: "client.test"},
			ClientAuth{Roots: "strange"}, "unknown certificate authority",
		},
	} {
		clientEnd, serverEnd := net.Pipe()
		done := make(chan error, 1)
		go func() {
			s := tls.Server(serverEnd, store.ServerConfig(tc.client, "h2"))
			err := s.Handshake()
			if err == nil {
				s.Write([]byte("x"))
			}
			s.Close()
			done <- err
		}()
		clientEnd.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		c := tls.Client(clientEnd, store.ClientConfig(tc.server))
		err := c.Handshake()
		if err == nil { // in TLS 1.3 the server verifies the client's certificate after the client's handshake
			_, err = c.Read(make([]byte, 1))
		}
		clientEnd.Close()
		<-done
		if (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got error %v, want one with the text of the case, or none", tc.name, err)
		}
	}
}
