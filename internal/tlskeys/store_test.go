package tlskeys

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// Guards against rotations that interrupt service. Each rotation writes certificate and key in two steps each, and every fourth
// has an expired certificate: no handshake may fail, an open connection must keep working, and the last valid certificate must
// be presented.
func TestRotationUnderLoad(t *testing.T) {
	a := newAuthority(t)
	folder := t.TempDir()
	write := func(name string, data []byte) {
		if err := os.WriteFile(filepath.Join(folder, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.Write(folder, "a", "a.test"); err != nil {
		t.Fatal(err)
	}
	store, err := Open(folder, "", testutil.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	l := tls.NewListener(testutil.Listen(t), store.ServerConfig(ClientAuth{}, "http/1.1"))
	go serveEcho(l)
	connect := func() (*tls.Conn, error) {
		return tls.Dial("tcp", l.Addr().String(), &tls.Config{RootCAs: a.Pool(), ServerName: "a.test"})
	}
	first, err := connect()
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	shown := map[string]bool{}
	for i := range 40 {
		cert, key := issue(t, a, -time.Hour, time.Hour, "a.test")
		if i%4 == 3 {
			cert, key = issue(t, a, -2*time.Hour, -time.Hour, "a.test") // expired
		}
		for step, writeStep := range []func(){
			func() { write("a.crt", cert[:len(cert)/2]) }, func() { write("a.crt", cert) },
			func() { write("a.key", key[:len(key)/2]) }, func() { write("a.key", key) },
		} {
			writeStep()
			fileErrs := store.Reload(time.Now())
			if (len(fileErrs) == 0) != (step == 3 && i%4 != 3) {
				t.Fatalf("rotation %d, step %d: got errors %v, want none only after the last step of a valid rotation", i, step, fileErrs)
			}
			c, err := connect()
			if err != nil {
				t.Fatalf("rotation %d, step %d: the handshake failed: %v", i, step, err)
			}
			if err := echoByte(c); err != nil {
				t.Fatal(err)
			}
			shown[fmt.Sprint(c.ConnectionState().PeerCertificates[0].SerialNumber)] = true
			c.Close()
		}
	}
	if len(shown) != 31 { // the first certificate and three of every four rotations
		t.Errorf("%d different certificates were presented, want 31", len(shown))
	}
	if err := echoByte(first); err != nil {
		t.Errorf("the connection from before the rotations failed: %v", err)
	}
	if store.Changes() != 31 {
		t.Errorf("%d sets came into force, want 31", store.Changes())
	}
}

// serveEcho returns each byte that it reads, until the listener is closed.
func serveEcho(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			var b [1]byte
			for {
				if _, err := conn.Read(b[:]); err != nil {
					return
				}
				conn.Write(b[:])
			}
		}()
	}
}

// echoByte writes a byte to a connection with serveEcho and reads the response.
func echoByte(c net.Conn) error {
	b := [1]byte{'x'}
	if _, err := c.Write(b[:]); err != nil {
		return err
	}
	_, err := c.Read(b[:])
	return err
}

// A bundle of roots that is written in place, and whose writer stops behind a whole certificate, does not replace the former one.
func TestRootsAreNotTakenInPart(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	bundle := filepath.Join(t.TempDir(), "a.ca")
	write := func(text string) {
		if err := os.WriteFile(bundle, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(first.PEM) + string(second.PEM))
	store, err := Open(filepath.Dir(bundle), "", testutil.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	former := store.Set().Roots("a")
	write(string(second.PEM))
	store.Reload(time.Now())
	if !store.Set().Roots("a").Equal(former) {
		t.Error("after a part of the bundle second and first was written, its first root alone is trusted; want the former bundle")
	}
}
