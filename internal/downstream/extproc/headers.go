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

// headers holds the header fields of a message. The pseudo-header fields (RFC 9113, 8.3) are separate from the others.
type headers struct {
	method, path, authority, scheme, status string
	fields                                  http.Header // keyed by canonical name
}

// headersTooLargeError reports that the header fields exceed a limit. Its value is the limit in bytes.
type headersTooLargeError int

// Error implements error.
func (e headersTooLargeError) Error() string {
	return fmt.Sprintf("the header fields are over %d bytes", int(e))
}

// parseHeaders parses the headers of a message. It returns a headersTooLargeError if their names and values have more
// than maxBytes bytes in total.
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

// fieldValue returns the value of a field, which is sent either as text or as raw bytes (core.v3.HeaderValue). Setting
// both is an error.
func fieldValue(f *corev3.HeaderValue) (string, error) {
	raw := f.GetRawValue()
	switch {
	case len(raw) == 0:
		return f.GetValue(), nil
	case f.GetValue() != "":
		return "", fmt.Errorf("header field %.64q: value and raw_value are both set, want at most one", f.GetKey())
	}
	return string(raw), nil
}

// add validates a field and adds it. A pseudo-header field may be added only once.
func (h *headers) add(name, value string) error {
	if !httpguts.ValidHeaderFieldValue(value) {
		return fmt.Errorf("header field %.64q: value contains control characters", name)
	}
	if strings.HasPrefix(name, ":") {
		pseudo := h.pseudoField(name)
		if pseudo == nil || *pseudo != "" {
			return fmt.Errorf("pseudo-header field %.64q is unknown or occurs twice", name)
		}
		*pseudo = value
		return nil
	}
	if !httpguts.ValidHeaderFieldName(name) {
		return fmt.Errorf("header field name %.64q is malformed", name)
	}
	name = http.CanonicalHeaderKey(name)
	h.fields[name] = append(h.fields[name], value)
	return nil
}

// pseudoField returns a pointer to the value of the pseudo-header field of this name, nil if the name is unknown.
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

// newRequest returns the request that is matched against routes. The request shares h.fields, from which newRequest
// removes Host.
func (h *headers) newRequest() (*http.Request, error) {
	if h.authority == "" && len(h.fields["Host"]) == 1 {
		h.authority = h.fields["Host"][0]
	}
	delete(h.fields, "Host")
	switch {
	case h.method == "" || !httpguts.ValidHeaderFieldName(h.method): // a token (RFC 9110, 5.6.2), like a field name
		return nil, fmt.Errorf(":method %.64q is missing or malformed", h.method)
	case h.status != "":
		return nil, errors.New(":status is present, but not allowed in a request")
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
