package h1server

// How a client's request is read, checked and turned into the engine's.

import (
	"net/http"
	"strconv"
	"strings"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// framing refuses messages whose end this node and whoever sent them might see
// in different places: what is a body to one is a request to the other.
// net/http keeps Transfer-Encoding and drops a Content-Length beside it, and the
// reverse in HTTP/1.0; what goes on to a server is framed anew. With Strict the connection's raw
// bytes tell of both (seen), and such a request is the last one that is served on it.
func (f *Server) framing(r *http.Request) error {
	switch {
	case !f.options.Strict:
	case !r.ProtoAtLeast(1, 1) && counted(r) != nil && counted(r).coded():
		// net/http drops the coding, and would read the chunks as a request (RFC 9112, 6.1).
		return &ingress.Rejection{Status: http.StatusBadRequest, Text: "HTTP/1.0 has no transfer codings"}
	}
	if f.options.MaxBodyBytes > 0 && r.ContentLength > f.options.MaxBodyBytes {
		return &ingress.Rejection{Status: http.StatusRequestEntityTooLarge, Text: "the body is too large"}
	}
	return nil
}

// parse reads and checks a request.
func (f *Server) parse(r *http.Request, to *ingress.Destination, control *http.ResponseController) (*engine.Request, error) {
	terms, err := f.terms(r, to)
	if err != nil {
		return nil, err
	}
	if err := f.checkMethod(r, to); err != nil {
		return nil, err
	}
	out := &h1client.Request{Method: r.Method, Host: r.Host, Limits: to.Streams}
	if err := f.body(r, control, out); err != nil {
		return nil, err
	}
	f.setHead(r, to, out, terms.ID)
	return &engine.Request{
		Class: to.Class, Tenant: terms.Tenant, WorkHint: terms.Hint,
		Deadline:    f.options.Clock.Now() + terms.Patience - answerMargin,
		MaxAttempts: to.MaxAttempts, PerTryTimeout: to.PerTry,
		Payload: out, UploadTimeout: terms.Patience - answerMargin,
	}, nil
}

// terms reads what the request's header fields ask for. The tenant that a client's certificate names goes before
// any field.
func (f *Server) terms(r *http.Request, to *ingress.Destination) (ingress.Terms, error) {
	destination := to
	tenant, certified := certified(r, to.Certified)
	if certified {
		destination = &ingress.Destination{Effect: to.Effect, Deadline: to.Deadline}
	}
	terms, err := ingress.Read(r.Header, destination, f.options.Strict)
	if err != nil {
		return terms, err
	}
	if certified {
		terms.Tenant = tenant
	}
	if terms.ID == "" {
		terms.ID = f.idStart + strconv.FormatUint(f.lastID.Add(1), 36)
	}
	return terms, nil
}

// checkMethod refuses methods that are not forwarded and, with Strict, whatever does not go with the request's class.
func (f *Server) checkMethod(r *http.Request, to *ingress.Destination) error {
	idempotent := to.Effect == policy.Idempotent
	method := http.MethodPost
	if idempotent {
		method = http.MethodGet
	}
	switch {
	case f.options.Strict && r.Method != method && !(r.Method == http.MethodHead && idempotent):
		return &ingress.Rejection{Status: http.StatusMethodNotAllowed, Text: "the class wants " + method, Allow: method}
	case r.Method == http.MethodConnect, r.URL.Path == "*":
		return &ingress.Rejection{Status: http.StatusMethodNotAllowed, Text: r.Method + " is not carried"}
	case f.options.Strict && to.Effect == policy.NotIdempotent && len(r.Header["Idempotency-Key"]) > 0:
		return ingress.Bad("the class takes no Idempotency-Key")
	case f.options.Strict && idempotent && r.ContentLength != 0:
		return ingress.Bad("the class takes no body")
	}
	return nil
}

// setHead fills in the head of the request to the endpoint: target, end-to-end fields, id and upgrade.
func (f *Server) setHead(r *http.Request, to *ingress.Destination, out *h1client.Request, id string) {
	header := r.Header
	if !f.options.Strict && r.ProtoMajor == 1 && r.Method == http.MethodGet && asksUpgrade(header) {
		out.Upgrade = ingress.One(header["Upgrade"])
	}
	out.Trailers = strings.EqualFold(ingress.One(header["Te"]), "trailers")
	out.Header = h1client.EndToEnd(header) // net/http has no more use for it
	if to.Request != nil {
		to.Request.Apply(out.Header)
	}
	if len(header["X-Request-Id"]) == 0 {
		out.Header["X-Request-Id"] = []string{id}
	}
	out.Target = r.RequestURI
	if !strings.HasPrefix(out.Target, "/") { // in absolute form (RFC 9112, 3.2.2)
		out.Target = r.URL.RequestURI()
	}
}

// asksUpgrade tells whether a request wants another protocol on its connection (RFC 9110, 7.8).
func asksUpgrade(h http.Header) bool {
	for _, line := range h["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "upgrade") {
				return ingress.One(h["Upgrade"]) != ""
			}
		}
	}
	return false
}

// certified gives the tenant that a client's certificate, which TLS has verified, names.
func certified(r *http.Request, tenants map[string]int) (int, bool) {
	if len(tenants) == 0 || r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return 0, false
	}
	leaf := r.TLS.VerifiedChains[0][0]
	names := leaf.DNSNames
	for _, u := range leaf.URIs { // as in SPIFFE's ids
		names = append(names, u.String())
	}
	if len(names) == 0 { // the former way (RFC 6125, 6.4.4)
		names = []string{leaf.Subject.CommonName}
	}
	for _, name := range names {
		if i, ok := tenants[name]; ok {
			return i, true
		}
	}
	return 0, false
}
