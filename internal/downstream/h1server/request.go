package h1server

// How a client's request is read, checked and turned into the engine's.

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// responseMargin is the time between the engine's deadline and the client's, for the way of the request to this node
// and of the response back.
const responseMargin = 10 * time.Millisecond

// checkFraming rejects messages whose end this node and a proxy before it might see in different places (request
// smuggling, RFC 9112, 11.2). Where a message has both, net/http uses Transfer-Encoding and drops Content-Length, and
// the reverse in HTTP/1.0; the request to the endpoint gets framing of its own. With Strict, framingScan finds both in
// the connection's bytes, and such a request is the last one that is served on it (limitConnection).
func (s *Server) checkFraming(r *http.Request) error {
	conn := clientConnOf(r)
	if s.options.Strict && !r.ProtoAtLeast(1, 1) && conn != nil && conn.sentTransferCoding() {
		// net/http drops the coding, and would read the chunks as a request (RFC 9112, 6.1).
		return &ingress.Rejection{Status: http.StatusBadRequest, Message: "HTTP/1.0 has no transfer codings"}
	}
	if s.options.MaxBodyBytes > 0 && r.ContentLength > s.options.MaxBodyBytes {
		return &ingress.Rejection{Status: http.StatusRequestEntityTooLarge, Message: "the body is too large"}
	}
	return nil
}

// parse reads and checks a request.
func (s *Server) parse(
	r *http.Request, to *ingress.Destination, control *http.ResponseController,
) (*engine.Request, error) {
	terms, err := s.terms(r, to)
	if err != nil {
		return nil, err
	}
	if err := s.checkMethod(r, to); err != nil {
		return nil, err
	}
	out := &h1client.Request{Method: r.Method, Host: r.Host, Limits: to.StreamLimits}
	if err := s.readBody(r, control, out); err != nil {
		return nil, err
	}
	s.setHead(r, to, out, terms.ID)
	return &engine.Request{
		Class: to.Class, Tenant: terms.Tenant, WorkHint: terms.WorkHint,
		Deadline:    s.options.Clock.Now() + terms.Timeout - responseMargin,
		MaxAttempts: to.MaxAttempts, PerTryTimeout: to.PerTryTimeout,
		Payload: out, UploadTimeout: terms.Timeout - responseMargin,
	}, nil
}

// terms reads the request's ID, timeout, tenant and work hint from its header fields. The tenant of a client's
// certificate takes precedence.
func (s *Server) terms(r *http.Request, to *ingress.Destination) (ingress.Attributes, error) {
	destination := to
	tenant, certified := tenantOfCertificate(r, to.TenantsByCertificate)
	if certified {
		destination = &ingress.Destination{Idempotency: to.Idempotency, Deadline: to.Deadline}
	}
	terms, err := ingress.ReadAttributes(r.Header, destination, s.options.Strict)
	if err != nil {
		return terms, err
	}
	if certified {
		terms.Tenant = tenant
	}
	if terms.ID == "" {
		terms.ID = s.idPrefix + strconv.FormatUint(s.lastID.Add(1), 36)
	}
	return terms, nil
}

// checkMethod rejects methods that are not forwarded and, with Strict, what does not fit the request's class.
func (s *Server) checkMethod(r *http.Request, to *ingress.Destination) error {
	idempotent := to.Idempotency == policy.Idempotent
	method := http.MethodPost
	if idempotent {
		method = http.MethodGet
	}
	switch {
	case s.options.Strict && r.Method != method && !(r.Method == http.MethodHead && idempotent):
		return &ingress.Rejection{
			Status: http.StatusMethodNotAllowed, Message: "the class wants " + method, AllowedMethods: method,
		}
	case r.Method == http.MethodConnect, r.URL.Path == "*":
		return &ingress.Rejection{Status: http.StatusMethodNotAllowed, Message: r.Method + " is not carried"}
	case s.options.Strict && to.Idempotency == policy.NotIdempotent && len(r.Header["Idempotency-Key"]) > 0:
		return ingress.BadRequest("the class takes no Idempotency-Key")
	case s.options.Strict && idempotent && r.ContentLength != 0:
		return ingress.BadRequest("the class takes no body")
	}
	return nil
}

// setHead sets the head of the request to the endpoint: target, end-to-end fields, ID and upgrade.
func (s *Server) setHead(r *http.Request, to *ingress.Destination, out *h1client.Request, id string) {
	header := r.Header
	if !s.options.Strict && r.ProtoMajor == 1 && r.Method == http.MethodGet && requestsUpgrade(header) {
		out.Upgrade = ingress.SingleValue(header["Upgrade"])
	}
	out.AcceptsTrailers = strings.EqualFold(ingress.SingleValue(header["Te"]), "trailers")
	out.Header = h1client.EndToEndHeader(header) // which net/http does not read again
	if to.RequestEdits != nil {
		to.RequestEdits.Apply(out.Header)
	}
	if len(header["X-Request-Id"]) == 0 {
		out.Header["X-Request-Id"] = []string{id}
	}
	out.Target = r.RequestURI
	if !strings.HasPrefix(out.Target, "/") { // in absolute form (RFC 9112, 3.2.2)
		out.Target = r.URL.RequestURI()
	}
}

// requestsUpgrade reports whether a request asks for another protocol on its connection (RFC 9110, 7.8).
func requestsUpgrade(h http.Header) bool {
	for _, line := range h["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "upgrade") {
				return ingress.SingleValue(h["Upgrade"]) != ""
			}
		}
	}
	return false
}

// tenantOfCertificate returns the tenant that a client's verified certificate names.
func tenantOfCertificate(r *http.Request, tenants map[string]int) (int, bool) {
	if len(tenants) == 0 || r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return 0, false
	}
	leaf := r.TLS.VerifiedChains[0][0]
	names := leaf.DNSNames
	for _, u := range leaf.URIs { // SPIFFE IDs
		names = append(names, u.String())
	}
	if len(names) == 0 { // the older convention (RFC 6125, 6.4.4)
		names = []string{leaf.Subject.CommonName}
	}
	for _, name := range names {
		if i, ok := tenants[name]; ok {
			return i, true
		}
	}
	return 0, false
}
