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

// What is required of servers and of clients is verified: names, roots, pins, certificates.
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
		want   string // of the client's error; "": none
	}{
		{"as it should be", ServerAuth{ServerName: "server.test", Roots: "ca"}, ClientAuth{}, ""},
		{"another name", ServerAuth{ServerName: "other.test", Roots: "ca"}, ClientAuth{}, "not other.test"},
		{"other roots", ServerAuth{ServerName: "server.test", Roots: "strange"}, ClientAuth{}, "unknown authority"},
		{"no such roots", ServerAuth{ServerName: "server.test", Roots: "none"}, ClientAuth{}, "no roots none"},
		{
			"the key is pinned", ServerAuth{ServerName: "server.test", Roots: "ca", Pins: []string{pin}},
			ClientAuth{}, "",
		},
		{
			"another is pinned", ServerAuth{ServerName: "server.test", Roots: "ca", Pins: []string{"x"}},
			ClientAuth{}, "is pinned",
		},
		{
			"a certificate is shown", ServerAuth{ServerName: "server.test", Roots: "ca", Certificate: "client.test"},
			ClientAuth{Roots: "ca", Require: true}, "",
		},
		{
			"none is shown", ServerAuth{ServerName: "server.test", Roots: "ca"},
			ClientAuth{Roots: "ca", Require: true}, "certificate required",
		},
		{"none is required", ServerAuth{ServerName: "server.test", Roots: "ca"}, ClientAuth{Roots: "ca"}, ""},
		{
			"of other roots", ServerAuth{ServerName: "server.test", Roots: "ca", Certificate: "client.test"},
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
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}
