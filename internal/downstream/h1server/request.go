package h1server

// This file reads and checks a client's request and converts it to an engine.Request.

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

// responseMargin is the time between the engine's deadline and the client's. It covers the transfer of the request to
// this node and of the response back.
const responseMargin = 10 * time.Millisecond

// checkFraming rejects a request whose Content-Length exceeds Options.MaxBodyBytes. With Strict, it also rejects an
// HTTP/1.0 request on a connection whose bytes so far held a Transfer-Encoding line.
//
// A request with both Transfer-Encoding and Content-Length, whose end this node and a proxy in front of it might see in
// different places (request smuggling, RFC 9112, 11.2), is otherwise not rejected. net/http uses Transfer-Encoding and
// drops Content-Length, and the reverse in HTTP/1.0. The request to the endpoint is framed anew. With Strict,
// framingScan finds both fields in the connection's bytes, and limitConnection has the connection closed after the
// response.
func (s *Server) checkFraming(r *http.Request) error {
	conn := clientConnOf(r)
	if s.options.Strict && !r.ProtoAtLeast(1, 1) && conn != nil && conn.sentTransferCoding() {
		// net/http drops the transfer coding and would read the chunks as a request (RFC 9112, 6.1).
		return &ingress.Rejection{Status: http.StatusBadRequest, Message: "HTTP/1.0 has no transfer codings"}
	}
	if s.options.MaxBodyBytes > 0 && r.ContentLength > s.options.MaxBodyBytes {
		return &ingress.Rejection{Status: http.StatusRequestEntityTooLarge, Message: "the body is too large"}
	}
	return nil
}

// parse reads and checks a request. It reads a short body of a known length as a whole, and creates an upload for any
// other body.
func (s *Server) parse(
	r *http.Request, destination *ingress.Destination, control *http.ResponseController, memory *bodyReservation,
) (*engine.Request, error) {
	attributes, err := s.readAttributes(r, destination)
	if err != nil {
		return nil, err
	}
	if err := s.checkMethod(r, destination); err != nil {
		return nil, err
	}
	out := &h1client.Request{Method: r.Method, Host: r.Host, Limits: destination.StreamLimits}
	if err := s.readBody(r, control, destination.MaxRetryAfter, memory, out); err != nil {
		return nil, err
	}
	s.setTargetAndHeader(r, destination, out, attributes.ID)
	return &engine.Request{
		Class: destination.Class, Tenant: attributes.Tenant, WorkHint: attributes.WorkHint,
		Deadline:    s.options.Clock.Now() + attributes.Timeout - responseMargin,
		MaxAttempts: destination.MaxAttempts, PerTryTimeout: destination.PerTryTimeout,
		Payload: out, UploadTimeout: attributes.Timeout - responseMargin,
	}, nil
}

// readAttributes reads the request's ID, timeout, tenant and work hint from its header fields. The tenant of a client's
// certificate takes precedence over the field. A request without an ID gets a generated one.
func (s *Server) readAttributes(r *http.Request, destination *ingress.Destination) (ingress.Attributes, error) {
	attributeDefaults := destination
	tenant, certified := tenantOfCertificate(r, destination.TenantsByCertificate)
	if certified {
		attributeDefaults = &ingress.Destination{Idempotency: destination.Idempotency, Deadline: destination.Deadline}
	}
	attributes, err := ingress.ReadAttributes(r.Header, attributeDefaults, s.options.Strict)
	if err != nil {
		return attributes, err
	}
	if certified {
		attributes.Tenant = tenant
	}
	if attributes.ID == "" {
		attributes.ID = s.idPrefix + strconv.FormatUint(s.lastID.Add(1), 36)
	}
	return attributes, nil
}

// checkMethod rejects methods that are not forwarded. With Strict, it also rejects a method, an Idempotency-Key or a
// body that does not fit the request's class.
func (s *Server) checkMethod(r *http.Request, destination *ingress.Destination) error {
	idempotent := destination.Idempotency == policy.Idempotent
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
	case s.options.Strict && destination.Idempotency == policy.NotIdempotent && len(r.Header["Idempotency-Key"]) > 0:
		return ingress.BadRequest("the class takes no Idempotency-Key")
	case s.options.Strict && idempotent && r.ContentLength != 0:
		return ingress.BadRequest("the class takes no body")
	}
	return nil
}

// setTargetAndHeader sets the target, the end-to-end fields with the ID, and the upgrade of the request to the
// endpoint.
func (s *Server) setTargetAndHeader(r *http.Request, destination *ingress.Destination, out *h1client.Request, id string) {
	header := r.Header
	if !s.options.Strict && r.ProtoMajor == 1 && r.Method == http.MethodGet && requestsUpgrade(header) {
		out.Upgrade = ingress.SingleValue(header["Upgrade"])
	}
	out.AcceptsTrailers = strings.EqualFold(ingress.SingleValue(header["Te"]), "trailers")
	out.Header = h1client.EndToEndHeader(header) // changes header in place; net/http does not read it again
	if destination.RequestEdits != nil {
		destination.RequestEdits.Apply(out.Header)
	}
	if len(header["X-Request-Id"]) == 0 {
		out.Header["X-Request-Id"] = []string{id}
	}
	out.Target = r.RequestURI
	if !strings.HasPrefix(out.Target, "/") { // The target is in absolute form (RFC 9112, 3.2.2).
		out.Target = r.URL.RequestURI()
	}
}

// requestsUpgrade reports whether a request asks to change its connection to another protocol (RFC 9110, 7.8).
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

// tenantOfCertificate returns the tenant that a client's verified certificate names, as an index, and whether there is
// one.
func tenantOfCertificate(r *http.Request, tenants map[string]int) (int, bool) {
	if len(tenants) == 0 || r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return 0, false
	}
	leaf := r.TLS.VerifiedChains[0][0]
	names := leaf.DNSNames
	for _, u := range leaf.URIs { // URIs hold SPIFFE IDs.
		names = append(names, u.String())
	}
	if len(names) == 0 { // Older certificates have only a common name (RFC 6125, 6.4.4).
		names = []string{leaf.Subject.CommonName}
	}
	for _, name := range names {
		if i, ok := tenants[name]; ok {
			return i, true
		}
	}
	return 0, false
}
