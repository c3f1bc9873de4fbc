package tlskeys

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yokestall/internal/fake/keymaker"
	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

func authority(t testing.TB) *keymaker.Authority {
	t.Helper()
	a, err := keymaker.New("test")
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t testing.TB, a *keymaker.Authority, from, until time.Duration, names ...string) (cert, key []byte) {
	t.Helper()
	cert, key, err := a.Issue(time.Now().Add(from), time.Now().Add(until), names...)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

// A faulty entry is told by its file and its cause; what was there stays.
func TestFaultyEntries(t *testing.T) {
	a := authority(t)
	cert, key := issue(t, a, -time.Hour, time.Hour, "a.test")
	good := []File{{"a.crt", cert}, {"a.key", key}, {"ca.ca", a.PEM}, {"s.tickets", []byte(strings.Repeat("ab", 32) + "\n")}}
	old, faults := Update(Empty(), good, "", time.Now())
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	otherCert, otherKey := issue(t, a, -time.Hour, time.Hour, "b.test")
	lateCert, lateKey := issue(t, a, -2*time.Hour, -time.Hour, "a.test")
	soonCert, soonKey := issue(t, a, time.Hour, 2*time.Hour, "a.test")
	other := authority(t)
	wrongChain := append(bytes.Clone(cert[:bytes.Index(cert, []byte("-----END"))]), []byte("-----END CERTIFICATE-----\n")...)
	wrongChain = append(wrongChain, other.PEM...)
	for _, tc := range []struct {
		name, file string
		files      []File
		says       string
	}{
		{"no key", "a.crt", []File{{"a.crt", cert}}, "no key beside it"},
		{"no certificate", "a.key", []File{{"a.key", key}}, "no certificate beside it"},
		{"another's key", "a.crt", []File{{"a.crt", cert}, {"a.key", otherKey}}, "private key does not match"},
		{"another's certificate", "a.crt", []File{{"a.crt", otherCert}, {"a.key", key}}, "private key does not match"},
		{"expired", "a.crt", []File{{"a.crt", lateCert}, {"a.key", lateKey}}, "ended at"},
		{"not yet", "a.crt", []File{{"a.crt", soonCert}, {"a.key", soonKey}}, "begins at"},
		{"another chain", "a.crt", []File{{"a.crt", wrongChain}, {"a.key", key}}, "out of order"},
		{"empty", "a.crt", []File{{"a.crt", nil}, {"a.key", key}}, "has no certificate"},
		{"a key in it", "a.crt", []File{{"a.crt", append(bytes.Clone(key), cert...)}, {"a.key", key}}, `block of type "PRIVATE KEY"`},
		{"too long", "a.crt", []File{{"a.crt", make([]byte, MaxFileBytes+1)}, {"a.key", key}}, "at most"},
		{"roots torn", "ca.ca", []File{{"ca.ca", a.PEM[:len(a.PEM)/2]}}, "not whole"},
		{"tickets torn", "s.tickets", []File{{"s.tickets", []byte("abab")}}, "no end"},
		{"tickets malformed", "s.tickets", []File{{"s.tickets", []byte("xy\n")}}, "hexadecimal"},
	} {
		set, faults := Update(old, tc.files, "", time.Now())
		if len(faults) == 0 || !strings.HasPrefix(faults[0].Error(), tc.file+": ") || !strings.Contains(faults[0].Error(), tc.says) {
			t.Errorf("%s: %v", tc.name, faults)
			continue
		}
		if tc.file[0] == 'a' && tc.name != "too long" && set.Pair("a") != old.Pair("a") || tc.file == "ca.ca" && set.Roots("ca") == nil || tc.file == "s.tickets" && len(set.tickets) != 1 {
			t.Errorf("%s: what was there is gone", tc.name)
		}
	}
	// Torn at each byte: the old pair stays, or what there is is whole.
	for _, file := range []int{0, 1} {
		for n := range good[file].Data {
			files := []File{{"a.crt", cert}, {"a.key", key}}
			files[file].Data = files[file].Data[:n]
			set, faults := Update(old, files, "", time.Now())
			p := set.Pair("a")
			if p == nil || len(faults) == 0 && len(p.Certificate.Certificate) == 0 {
				t.Fatalf("%s torn at %d: %v", good[file].Name, n, faults)
			}
			if len(faults) > 0 && p != old.Pair("a") {
				t.Fatalf("%s torn at %d: taken with %v", good[file].Name, n, faults)
			}
		}
	}
}

func TestForServerNames(t *testing.T) {
	a := authority(t)
	var files []File
	for name, names := range map[string][]string{"one": {"one.test", "127.0.0.1"}, "wild": {"*.wild.test"}, "zero": {"zero.test"}} {
		cert, key := issue(t, a, -time.Hour, time.Hour, names...)
		files = append(files, File{name + ".crt", cert}, File{name + ".key", key})
	}
	cert, key := issue(t, a, -time.Hour, 2*time.Hour, "one.test") // lasts longer
	files = append(files, File{"zz.crt", cert}, File{"zz.key", key})
	set, faults := Update(Empty(), files, "zero", time.Now())
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	for server, want := range map[string]string{
		"one.test": "zz", "ONE.test.": "zz", "127.0.0.1": "one", "a.wild.test": "wild", "a.b.wild.test": "zero", "wild.test": "zero", "": "zero",
	} {
		if got := set.ForServerName(server); got.Name != want {
			t.Errorf("%q gets %s, want %s", server, got.Name, want)
		}
	}
	if list := set.Expiring(time.Now(), 90*time.Minute); len(list) != 3 {
		t.Errorf("expiring: %v", list)
	}
}

// Two rotations a second under load, each written in halves and some of them faulty: no
// handshake fails, a connection that stands goes on, and the last good key is shown.
func TestRotationUnderLoad(t *testing.T) {
	a := authority(t)
	folder := t.TempDir()
	put := func(name string, data []byte) {
		if err := os.WriteFile(filepath.Join(folder, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.Write(folder, "a", "a.test"); err != nil {
		t.Fatal(err)
	}
	store, err := Open(folder, "", testutil.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	l := tls.NewListener(testutil.Listen(t), store.ServerConfig(ClientAuth{}, "http/1.1"))
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				var b [1]byte
				for {
					if _, err := nc.Read(b[:]); err != nil {
						return
					}
					nc.Write(b[:])
				}
			}()
		}
	}()
	connect := func() (*tls.Conn, error) {
		return tls.Dial("tcp", l.Addr().String(), &tls.Config{RootCAs: a.Pool(), ServerName: "a.test"})
	}
	ping := func(c *tls.Conn) error {
		var b [1]byte
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err := c.Read(b[:])
		return err
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
		for step, write := range []func(){
			func() { put("a.crt", cert[:len(cert)/2]) }, func() { put("a.crt", cert) },
			func() { put("a.key", key[:len(key)/2]) }, func() { put("a.key", key) },
		} {
			write()
			faults := store.Reload(time.Now())
			if (len(faults) == 0) != (step == 3 && i%4 != 3) {
				t.Fatalf("rotation %d, step %d: %v", i, step, faults)
			}
			c, err := connect()
			if err != nil {
				t.Fatalf("rotation %d, step %d: %v", i, step, err)
			}
			if err := ping(c); err != nil {
				t.Fatal(err)
			}
			shown[fmt.Sprint(c.ConnectionState().PeerCertificates[0].SerialNumber)] = true
			c.Close()
		}
	}
	if len(shown) != 31 { // the first and three of four
		t.Errorf("%d certificates were shown", len(shown))
	}
	if err := ping(first); err != nil {
		t.Errorf("the first connection: %v", err)
	}
	if store.Changes() != 31 {
		t.Errorf("%d sets came in force", store.Changes())
	}
}

// What is wanted of servers and of clients is held: names, roots, pins, certificates.
func TestVerification(t *testing.T) {
	a, stranger := authority(t), authority(t)
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
		fails  string
	}{
		{"as it should be", ServerAuth{ServerName: "server.test", Roots: "ca"}, ClientAuth{}, ""},
		{"another name", ServerAuth{ServerName: "other.test", Roots: "ca"}, ClientAuth{}, "not other.test"},
		{"other roots", ServerAuth{ServerName: "server.test", Roots: "strange"}, ClientAuth{}, "unknown authority"},
		{"no such roots", ServerAuth{ServerName: "server.test", Roots: "none"}, ClientAuth{}, "no roots none"},
		{"the key is pinned", ServerAuth{ServerName: "server.test", Roots: "ca", Pins: []string{pin}}, ClientAuth{}, ""},
		{"another is pinned", ServerAuth{ServerName: "server.test", Roots: "ca", Pins: []string{"x"}}, ClientAuth{}, "is pinned"},
		{"a certificate is shown", ServerAuth{ServerName: "server.test", Roots: "ca", Certificate: "client.test"}, ClientAuth{Roots: "ca", Require: true}, ""},
		{"none is shown", ServerAuth{ServerName: "server.test", Roots: "ca"}, ClientAuth{Roots: "ca", Require: true}, "certificate required"},
		{"none is wanted", ServerAuth{ServerName: "server.test", Roots: "ca"}, ClientAuth{Roots: "ca"}, ""},
		{"from a stranger", ServerAuth{ServerName: "server.test", Roots: "ca", Certificate: "client.test"}, ClientAuth{Roots: "strange"}, "unknown certificate authority"},
	} {
		near, far := net.Pipe()
		done := make(chan error, 1)
		go func() {
			s := tls.Server(far, store.ServerConfig(tc.client, "h2"))
			err := s.Handshake()
			if err == nil {
				s.Write([]byte("x"))
			}
			s.Close()
			done <- err
		}()
		near.SetDeadline(time.Now().Add(testutil.Patience))
		c := tls.Client(near, store.ClientConfig(tc.server))
		err := c.Handshake()
		if err == nil { // with TLS 1.3 the server's verdict on the client comes behind it
			_, err = c.Read(make([]byte, 1))
		}
		near.Close()
		<-done
		if (err == nil) != (tc.fails == "") || err != nil && !strings.Contains(err.Error(), tc.fails) {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}

// FuzzNext: whatever stands in the files costs a fault and no more.
func FuzzNext(f *testing.F) {
	a, _ := keymaker.New("test")
	cert, key, _ := a.Issue(time.Now(), time.Now().Add(time.Hour), "a.test")
	f.Add(cert, key, a.PEM, []byte(strings.Repeat("0", 64)+"\n"))
	f.Fuzz(func(t *testing.T, cert, key, roots, tickets []byte) {
		set, _ := Update(Empty(), []File{{"a.crt", cert}, {"a.key", key}, {"r.ca", roots}, {"t.tickets", tickets}}, "", time.Now())
		if p := set.ForServerName("a.test"); p != nil && p.Certificate.Leaf == nil {
			t.Error("a pair with no certificate")
		}
	})
}
