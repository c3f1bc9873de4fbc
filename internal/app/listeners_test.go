package app

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fake/keymaker"
	"yokestall/internal/testutil"
	"yokestall/internal/tlskeys"
)

// raw sends bytes and gives what comes back until the end, or until a text has come.
func raw(t testing.TB, addr, text, until string) string {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	io.WriteString(nc, text)
	var got strings.Builder
	part := make([]byte, 4096)
	for {
		n, err := nc.Read(part)
		got.Write(part[:n])
		if err != nil || until != "" && strings.Contains(got.String(), until) {
			return got.String()
		}
	}
}

// Listeners come, change under clients that stay, and go; what can't be opened changes nothing.
func TestListenersComeAndGo(t *testing.T) {
	b := testutil.StartAppServer(t, "b")
	p := parse(t, program)
	a, err := New(snapshot(p, rooms(at(b))), Options{Seed: 1, Log: testutil.Log(t)})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	ls := a.NewListeners()
	defer ls.Close()
	free := func() string { // taken by a listener of the app's own at once
		l := testutil.Listen(t)
		defer l.Close()
		return l.Addr().String()
	}
	one := p.Listener
	one.Name, one.Address = "one", free()
	two := one
	two.Name, two.Address = "two", free()
	get := func(addr string) string {
		return raw(t, addr, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "")
	}
	serves := func(addr string) bool {
		nc, err := net.Dial("tcp", addr)
		if err == nil {
			nc.Close()
		}
		return err == nil
	}
	if err := ls.Apply([]config.Listener{one}); err != nil || !strings.Contains(get(one.Address), "b served") {
		t.Fatal(err)
	}
	if err := ls.Apply([]config.Listener{one, two}); err != nil || !strings.Contains(get(two.Address), "b served") {
		t.Fatal(err)
	}
	taken := two
	taken.Name, taken.Address = "taken", b.Addr()
	if err := ls.Apply([]config.Listener{taken}); err == nil || !strings.Contains(get(one.Address), "b served") {
		t.Errorf("an address that is taken: %v", err)
	}
	// Another bound on bodies, while clients ask without a pause: none is turned away.
	stop, done := make(chan struct{}), make(chan bool)
	var asked atomic.Int64
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if got := get(one.Address); !strings.Contains(got, "b served") {
				t.Errorf("while the listener changes: %q", got)
			}
			asked.Add(1)
		}
	}()
	for i := range 10 {
		n := asked.Load()
		testutil.Until(t, "another request", func() bool { return asked.Load() > n })
		one.MaxBody = int64(i%2+1) * 10
		if err := ls.Apply([]config.Listener{one, two}); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	<-done
	if got := raw(t, one.Address, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 25\r\n\r\n", ""); !strings.Contains(got, "413") {
		t.Errorf("a bound of %d: %q", one.MaxBody, got)
	}
	if err := ls.Apply([]config.Listener{two}); err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "the first to be gone", func() bool { return !serves(one.Address) })
	if !strings.Contains(get(two.Address), "b served") {
		t.Error("the other one is gone too")
	}
}

// scarce is a listener that has no descriptors left for its first calls.
type scarce struct {
	net.Listener
	left atomic.Int64
}

func (s *scarce) Accept() (net.Conn, error) {
	if s.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return s.Listener.Accept()
}

// A listener outlives a lack of descriptors.
func TestAcceptGoesOn(t *testing.T) {
	b := testutil.StartAppServer(t, "b")
	p := parse(t, program)
	a, err := New(snapshot(p, rooms(at(b))), Options{Seed: 1, Log: testutil.Log(t)})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	ls := a.NewListeners()
	defer ls.Close()
	l := &scarce{Listener: testutil.Listen(t)}
	l.left.Store(3)
	ls.start(p.Listener, ls.startAcceptor(l))
	if got := raw(t, l.Addr().String(), "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", ""); !strings.Contains(got, "b served") {
		t.Errorf("%q", got)
	}
}

const edgeProgram = `[files]
clusters = "clusters"
[listen]
address = "127.0.0.1:0"
[[class]]
name = "read"
effect = "safe"
deadline = "5s"
[[tenant]]
name = "first"
[[tenant]]
name = "second"
certificates = ["client.test"]
[[host]]
[[host.route]]
path = "/old"
redirect = { path = "/new", status = 308 }
[[host.route]]
path = "/teapot"
answer = { status = 418, text = "short and stout" }
[[host.route]]
prefix = "/"
class = "read"
cluster = "rooms"
request = { set = { x-added = "by the route" }, remove = ["x-secret"] }
response = { set = { strict-transport-security = "max-age=60" }, remove = ["server"] }
`

// What the edge does with a connection and with fields, by listener: raw bytes in, what comes
// back and what the server saw.
func TestEdge(t *testing.T) {
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Upgrade") == "echo" {
			nc, rw, _ := http.NewResponseController(w).Hijack()
			defer nc.Close()
			io.WriteString(nc, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\nhello ")
			io.Copy(nc, rw)
			return
		}
		w.Header().Set("Server", "inside")
		fmt.Fprintf(w, "for=%s tls=%s added=%s secret=%s", r.Header.Get("X-Forwarded-For"), r.Header.Get("X-Forwarded-Proto"), r.Header.Get("X-Added"), r.Header.Get("X-Secret"))
	})
	authority, err := keymaker.New("test")
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	for _, name := range []string{"front.test", "client.test"} {
		if err := authority.Write(folder, name, name); err != nil {
			t.Fatal(err)
		}
	}
	keys, err := tlskeys.Open(folder, "front.test", testutil.Log(t))
	if err != nil {
		t.Fatal(err)
	}
	p := parse(t, edgeProgram)
	e := rooms()
	e.AllowEmpty, e.Endpoints = false, append(e.Endpoints, at(testutil.StartAppServer(t, "unused")))
	e.Endpoints[0].Address = b.Addr()
	a, err := New(snapshot(p, e), Options{Seed: 1, Log: testutil.Log(t), Keys: keys})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	start := func(change func(*config.Listener)) (addr string) {
		set := p.Listener
		change(&set)
		ls := a.NewListeners()
		if err := ls.Apply([]config.Listener{set}); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(ls.Close)
		return ls.Addr("").String()
	}
	plain := start(func(*config.Listener) {})
	proxied := start(func(l *config.Listener) { l.Trust, l.Proxy = "127.0.0.0/8", "optional" })
	required := start(func(l *config.Listener) { l.Trust, l.Proxy = "127.0.0.0/8", "required" })
	strangers := start(func(l *config.Listener) { l.Trust, l.Proxy = "10.0.0.0/8", "required" })
	secure := start(func(l *config.Listener) { l.TLS, l.ClientRoots = true, "ca" })
	const get = "GET /x HTTP/1.1\r\nHost: a\r\nX-Secret: s\r\nConnection: close\r\n\r\n"
	v2 := "\r\n\r\n\x00\r\nQUIT\n\x21\x11\x00\x0c" + "\x0a\x00\x00\x05" + "\x7f\x00\x00\x01" + "\x10\x00\x00\x50"
	for _, tc := range []struct{ name, addr, in, until, out string }{
		{"fields are edited", plain, get, "", "added=by the route secret="},
		{"an answer's field is set", plain, get, "", "Strict-Transport-Security: max-age=60"},
		{"a redirect", plain, "GET /old?q=1 HTTP/1.1\r\nHost: a.test\r\nConnection: close\r\n\r\n", "", "Location: http://a.test/new?q=1"},
		{"a direct answer", plain, "GET /teapot HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "", "418 I'm a teapot"},
		{"HTTP/1.0", plain, "GET /x HTTP/1.0\r\n\r\n", "", "HTTP/1.0 200 OK"},
		{"PROXY v1", proxied, "PROXY TCP4 10.0.0.9 10.0.0.1 1 80\r\n" + get, "", "for=10.0.0.9 "},
		{"PROXY v2", proxied, v2 + get, "", "for=10.0.0.5 "},
		{"no PROXY where it is optional", proxied, get, "", "for=127.0.0.1 "},
		{"no PROXY where it is required", required, get, "", ""},
		{"PROXY malformed", required, "PROXY TCP4 x y 1 80\r\n" + get, "", ""},
		{"PROXY from a stranger", strangers, "PROXY TCP4 10.0.0.9 10.0.0.1 1 80\r\n" + get, "", ""},
		{"PROXY where it is not spoken", plain, "PROXY TCP4 10.0.0.9 10.0.0.1 1 80\r\n" + get, "", "400"},
		{"clear text to TLS", secure, get, "", "HTTP request to an HTTPS server"},
		{"TLS to clear text", plain, "\x16\x03\x01\x00\x05\x01\x00\x00\x01\x00\r\n\r\n", "", "400"},
		{"an upgrade", plain, "GET /ws HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\nping", "hello ping", "101 Switching Protocols"},
		{"an upgrade that the server passes over", plain, "GET /ws HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, close\r\nUpgrade: other\r\n\r\n", "for=", "200 OK"},
	} {
		switch got := raw(t, tc.addr, tc.in, tc.until); {
		case tc.out == "" && strings.Contains(got, "200 OK"), !strings.Contains(got, tc.out), strings.Contains(got, "inside"):
			t.Errorf("%s: %q", tc.name, got)
		}
	}
	// A client's certificate names its tenant; no field can.
	tenant := func(show bool, field string) (status string) {
		set := &tls.Config{RootCAs: authority.Pool(), ServerName: "front.test"}
		if show {
			pair, err := tls.LoadX509KeyPair(filepath.Join(folder, "client.test.crt"), filepath.Join(folder, "client.test.key"))
			if err != nil {
				t.Fatal(err)
			}
			set.Certificates = []tls.Certificate{pair}
		}
		nc, err := tls.Dial("tcp", secure, set)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		fmt.Fprintf(nc, "GET /x HTTP/1.1\r\nHost: a\r\n%sConnection: close\r\n\r\n", field)
		line, _ := bufio.NewReader(nc).ReadString('\n')
		return line
	}
	for _, tc := range []struct {
		show         bool
		field, wants string
	}{{true, "X-Tenant-Id: nobody\r\n", "200"}, {false, "X-Tenant-Id: nobody\r\n", "400"}, {false, "X-Tenant-Id: first\r\n", "200"}} {
		if got := tenant(tc.show, tc.field); !strings.Contains(got, tc.wants) {
			t.Errorf("certificate %v, %q: %q", tc.show, tc.field, got)
		}
	}
}
