package extproc

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"golang.org/x/net/http/httpguts"
)

// headers are a message's header fields, with the pseudo-header fields (RFC 9113, 8.3) apart.
type headers struct {
	method, path, authority, scheme, status string
	fields                                  http.Header // by canonical name
}

// headersTooLargeError is about headers over their bound, in bytes.
type headersTooLargeError int

// Error implements error.
func (e headersTooLargeError) Error() string {
	return fmt.Sprintf("the header fields are over %d bytes", int(e))
}

// parseHeaders parses headers of at most maxBytes of names and values.
func parseHeaders(m *corev3.HeaderMap, maxBytes int) (*headers, error) {
	h := &headers{fields: make(http.Header, len(m.GetHeaders()))}
	size := 0
	for _, f := range m.GetHeaders() {
		name := f.GetKey()
		value, err := fieldValue(f)
		if err != nil {
			return nil, err
		}
		if size += len(name) + len(value); size > maxBytes {
			return nil, headersTooLargeError(maxBytes)
		}
		if err := h.add(name, value); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// fieldValue returns a field's value, which comes as text or as raw bytes (core.v3.HeaderValue); both at once are an
// error.
func fieldValue(f *corev3.HeaderValue) (string, error) {
	raw := f.GetRawValue()
	switch {
	case len(raw) == 0:
		return f.GetValue(), nil
	case f.GetValue() != "":
		return "", fmt.Errorf("field %.64q: value and raw_value are both set", f.GetKey())
	}
	return string(raw), nil
}

// add adds a field.
func (h *headers) add(name, value string) error {
	if !httpguts.ValidHeaderFieldValue(value) {
		return fmt.Errorf("field %.64q: its value has control characters", name)
	}
	if strings.HasPrefix(name, ":") {
		pseudo := h.pseudoField(name)
		if pseudo == nil || *pseudo != "" {
			return fmt.Errorf("field %.64q is not known, or comes twice", name)
		}
		*pseudo = value
		return nil
	}
	if !httpguts.ValidHeaderFieldName(name) {
		return fmt.Errorf("field name %.64q is malformed", name)
	}
	name = http.CanonicalHeaderKey(name)
	h.fields[name] = append(h.fields[name], value)
	return nil
}

// pseudoField returns where a pseudo-header field is stored; nil if there is none of the name.
func (h *headers) pseudoField(name string) *string {
	switch name {
	case ":method":
		return &h.method
	case ":path":
		return &h.path
	case ":authority":
		return &h.authority
	case ":scheme":
		return &h.scheme
	case ":status":
		return &h.status
	}
	return nil
}

// newRequest returns the request that routes are matched with. It shares the fields, without Host.
func (h *headers) newRequest() (*http.Request, error) {
	if h.authority == "" && len(h.fields["Host"]) == 1 {
		h.authority = h.fields["Host"][0]
	}
	delete(h.fields, "Host")
	switch {
	case h.method == "" || !httpguts.ValidHeaderFieldName(h.method): // both are tokens (RFC 9110, 5.6.2)
		return nil, fmt.Errorf(":method %.64q is missing or malformed", h.method)
	case h.status != "":
		return nil, errors.New("a request has no :status")
	case h.authority != "" && !httpguts.ValidHostHeader(h.authority):
		return nil, fmt.Errorf(":authority %.64q is malformed", h.authority)
	case !strings.HasPrefix(h.path, "/") || strings.ContainsAny(h.path, " \t#"):
		return nil, fmt.Errorf(":path %.64q is missing or malformed", h.path)
	}
	u, err := url.ParseRequestURI(h.path)
	if err != nil {
		return nil, fmt.Errorf(":path %.64q is malformed", h.path)
	}
	return &http.Request{
		Method:     h.method,
		URL:        u,
		RequestURI: h.path,
		Host:       h.authority,
		Header:     h.fields,
		Proto:      "HTTP/2.0",
		ProtoMajor: 2,
	}, nil
}
