package app

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"yokestall/internal/config"
	"yokestall/internal/fake/keymaker"
	"yokestall/internal/testutil"
	"yokestall/internal/tlskeys"
)

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

// edge is an App with TLS keys whose server answers with header fields of the request that it received.
type edge struct {
	app       *App
	listener  config.Listener // the listener of edgeProgram
	authority *keymaker.Authority
	keyFolder string
}

func newEdge(t *testing.T) *edge {
	t.Helper()
	e := &edge{keyFolder: t.TempDir()}
	var err error
	if e.authority, err = keymaker.New("test"); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"front.test", "client.test"} {
		if err := e.authority.Write(e.keyFolder, name, name); err != nil {
			t.Fatal(err)
		}
	}
	keys, err := tlskeys.Open(e.keyFolder, "front.test", testutil.Log(t))
	if err != nil {
		t.Fatal(err)
	}
	p := parse(t, edgeProgram)
	e.listener = p.Listener
	c := roomsCluster()
	c.AllowEmpty, c.Endpoints = false, append(c.Endpoints, endpointOf(testutil.StartAppServer(t, "unused")))
	c.Endpoints[0].Address = testutil.NewBackend(t, answerWithFields).Addr()
	e.app = newApp(t, newConfiguration(p, c), Options{Seed: 1, Log: testutil.Log(t), Keys: keys})
	return e
}

// answerWithFields answers with the header fields of the request that the App may change. If the request asks for an
// upgrade to echo, it upgrades the connection and echoes the bytes that it receives.
func answerWithFields(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") == "echo" {
		nc, rw, _ := http.NewResponseController(w).Hijack()
		defer nc.Close()
		io.WriteString(nc, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\nhello ")
		io.Copy(nc, rw)
		return
	}
	w.Header().Set("Server", "inside")
	h := r.Header
	fmt.Fprintf(w, "for=%s tls=%s added=%s secret=%s",
		h.Get("X-Forwarded-For"), h.Get("X-Forwarded-Proto"), h.Get("X-Added"), h.Get("X-Secret"))
}

// listen opens a listener with the settings of edgeProgram, modified by change, and returns its address.
func (e *edge) listen(t *testing.T, change func(*config.Listener)) (addr string) {
	t.Helper()
	l := e.listener
	change(&l)
	return openListeners(t, e.app, l).Addr("").String()
}

// trustProxies returns a change of a listener to trust proxies in a network. proxy is the value of its setting Proxy.
func trustProxies(network, proxy string) func(*config.Listener) {
	return func(l *config.Listener) { l.Trust, l.Proxy = network, proxy }
}

// acceptClientCertificates is a change of a listener to TLS that accepts client certificates issued by the root "ca".
// Clients without a certificate are accepted too.
func acceptClientCertificates(l *config.Listener) { l.TLS, l.ClientRoots = true, "ca" }

// Requests of TestEdge, and PROXY protocol headers that precede them.
const (
	secretGet     = "GET /x HTTP/1.1\r\nHost: a\r\nX-Secret: s\r\nConnection: close\r\n\r\n"
	redirectedGet = "GET /old?q=1 HTTP/1.1\r\nHost: a.test\r\nConnection: close\r\n\r\n"
	teapotGet     = "GET /teapot HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	upgrade       = "GET /ws HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\nping"
	otherUpgrade  = "GET /ws HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, close\r\nUpgrade: other\r\n\r\n"
	tlsHello      = "\x16\x03\x01\x00\x05\x01\x00\x00\x01\x00\r\n\r\n"

	proxyV1   = "PROXY TCP4 10.0.0.9 10.0.0.1 1 80\r\n"
	badProxy  = "PROXY TCP4 x y 1 80\r\n"
	proxyV2   = "\r\n\r\n\x00\r\nQUIT\n\x21\x11\x00\x0c" + proxyAddr
	proxyAddr = "\x0a\x00\x00\x05" + "\x7f\x00\x00\x01" + "\x10\x00\x00\x50" // 10.0.0.5 to 127.0.0.1
)

// Raw bytes are sent to listeners with different settings. The test checks the answer, which includes header fields that
// the server saw: edits of header fields, redirects, the PROXY protocol, TLS and upgrades.
func TestEdge(t *testing.T) {
	e := newEdge(t)
	plain := e.listen(t, func(*config.Listener) {})
	proxied := e.listen(t, trustProxies("127.0.0.0/8", "optional"))
	required := e.listen(t, trustProxies("127.0.0.0/8", "required"))
	untrusted := e.listen(t, trustProxies("10.0.0.0/8", "required"))
	secure := e.listen(t, acceptClientCertificates)
	for _, tc := range []struct{ name, addr, in, until, out string }{
		{"fields are edited", plain, secretGet, "", "added=by the route secret="},
		{"an answer's field is set", plain, secretGet, "", "Strict-Transport-Security: max-age=60"},
		{"a redirect", plain, redirectedGet, "", "Location: http://a.test/new?q=1"},
		{"a direct answer", plain, teapotGet, "", "418 I'm a teapot"},
		{"HTTP/1.0", plain, "GET /x HTTP/1.0\r\n\r\n", "", "HTTP/1.0 200 OK"},
		{"PROXY v1", proxied, proxyV1 + secretGet, "", "for=10.0.0.9 "},
		{"PROXY v2", proxied, proxyV2 + secretGet, "", "for=10.0.0.5 "},
		{"no PROXY where it is optional", proxied, secretGet, "", "for=127.0.0.1 "},
		{"no PROXY where it is required", required, secretGet, "", ""},
		{"PROXY malformed", required, badProxy + secretGet, "", ""},
		{"PROXY from an untrusted peer", untrusted, proxyV1 + secretGet, "", ""},
		{"PROXY where it is not enabled", plain, proxyV1 + secretGet, "", "400"},
		{"clear text to TLS", secure, secretGet, "", "HTTP request to an HTTPS server"},
		{"TLS to clear text", plain, tlsHello, "", "400"},
		{"an upgrade", plain, upgrade, "hello ping", "101 Switching Protocols"},
		{"an upgrade that the server ignores", plain, otherUpgrade, "for=", "200 OK"},
	} {
		got := exchangeRaw(t, tc.addr, tc.in, tc.until)
		served := strings.Contains(got, "200 OK")
		if tc.out == "" && served || !strings.Contains(got, tc.out) || strings.Contains(got, "inside") {
			t.Errorf("%s: answer %q, want %q in it (empty: not served)", tc.name, got, tc.out)
		}
	}
}

// The tenant of a client with a certificate follows from the certificate, whatever the client's header field says. Without
// a certificate the field names the tenant, and an unknown tenant is rejected.
func TestTenantByCertificate(t *testing.T) {
	e := newEdge(t)
	secure := e.listen(t, acceptClientCertificates)
	for _, tc := range []struct {
		certificate bool
		field, want string
	}{
		{true, "X-Tenant-Id: nobody\r\n", "200"},
		{false, "X-Tenant-Id: nobody\r\n", "400"},
		{false, "X-Tenant-Id: first\r\n", "200"},
	} {
		if got := e.statusLine(t, secure, tc.certificate, tc.field); !strings.Contains(got, tc.want) {
			t.Errorf("certificate %v, field %q: status line %q, want %s", tc.certificate, tc.field, got, tc.want)
		}
	}
}

// statusLine sends a request with a header field over TLS and returns the status line of the answer. certificate says
// whether the client presents its certificate.
func (e *edge) statusLine(t *testing.T, addr string, certificate bool, field string) string {
	t.Helper()
	settings := &tls.Config{RootCAs: e.authority.Pool(), ServerName: "front.test"}
	if certificate {
		path := filepath.Join(e.keyFolder, "client.test")
		pair, err := tls.LoadX509KeyPair(path+".crt", path+".key")
		if err != nil {
			t.Fatal(err)
		}
		settings.Certificates = []tls.Certificate{pair}
	}
	nc, err := tls.Dial("tcp", addr, settings)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	fmt.Fprintf(nc, "GET /x HTTP/1.1\r\nHost: a\r\n%sConnection: close\r\n\r\n", field)
	line, _ := bufio.NewReader(nc).ReadString('\n')
	return line
}
