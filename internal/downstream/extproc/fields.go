package extproc

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"golang.org/x/net/http/httpguts"
)

// head is a message's fields with its pseudo-fields (RFC 9113, 8.3) apart.
type head struct {
	method, path, authority, scheme, status string
	fields                                  http.Header // canonical names
}

// errTooLarge is of a head over its bound.
type errTooLarge int

func (e errTooLarge) Error() string {
	return fmt.Sprintf("the header fields are over %d bytes", int(e))
}

// readHead takes a map of fields, of most bytes of names and values. A value comes as text or as
// raw bytes (core.v3.HeaderValue); both at once are a mistake.
func readHead(m *corev3.HeaderMap, most int) (*head, error) {
	h := &head{fields: make(http.Header, len(m.GetHeaders()))}
	size := 0
	for _, f := range m.GetHeaders() {
		name, value := f.GetKey(), f.GetValue()
		if raw := f.GetRawValue(); len(raw) > 0 {
			if value != "" {
				return nil, fmt.Errorf("field %.64q: value and raw_value are both set", name)
			}
			value = string(raw)
		}
		if size += len(name) + len(value); size > most {
			return nil, errTooLarge(most)
		}
		if !httpguts.ValidHeaderFieldValue(value) {
			return nil, fmt.Errorf("field %.64q: its value has control characters", name)
		}
		if strings.HasPrefix(name, ":") {
			var to *string
			switch name {
			case ":method":
				to = &h.method
			case ":path":
				to = &h.path
			case ":authority":
				to = &h.authority
			case ":scheme":
				to = &h.scheme
			case ":status":
				to = &h.status
			}
			if to == nil || *to != "" {
				return nil, fmt.Errorf("field %.64q is not known, or comes twice", name)
			}
			*to = value
			continue
		}
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, fmt.Errorf("field name %.64q is malformed", name)
		}
		name = http.CanonicalHeaderKey(name)
		h.fields[name] = append(h.fields[name], value)
	}
	return h, nil
}

// request makes of a request's head what routes are looked up by.
func (h *head) request() (*http.Request, error) {
	if h.authority == "" && len(h.fields["Host"]) == 1 {
		h.authority = h.fields["Host"][0]
	}
	delete(h.fields, "Host")
	switch {
	case h.method == "" || !httpguts.ValidHeaderFieldName(h.method): // both are tokens (RFC 9110, 5.6.2)
		return nil, fmt.Errorf(":method %.64q is missing or malformed", h.method)
	case h.status != "":
		return nil, fmt.Errorf("a request has no :status")
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
		Method: h.method, URL: u, RequestURI: h.path, Host: h.authority, Header: h.fields, Proto: "HTTP/2.0", ProtoMajor: 2,
	}, nil
}

// set writes fields, in a stable order, so that each is there with these values alone.
func set(fields http.Header) []*corev3.HeaderValueOption {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	list := make([]*corev3.HeaderValueOption, 0, len(fields))
	for _, name := range names {
		for i, value := range fields[name] {
			action := corev3.HeaderValueOption_APPEND_IF_EXISTS_OR_ADD
			if i == 0 {
				action = corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD
			}
			list = append(list, &corev3.HeaderValueOption{
				Header: &corev3.HeaderValue{Key: strings.ToLower(name), RawValue: []byte(value)}, AppendAction: action, KeepEmptyValue: true,
			})
		}
	}
	return list
}

// headerMap writes fields with a status ahead of them.
func headerMap(status int, fields http.Header) *corev3.HeaderMap {
	m := &corev3.HeaderMap{}
	if status > 0 {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: ":status", RawValue: fmt.Append(nil, status)})
	}
	for _, o := range set(fields) {
		m.Headers = append(m.Headers, o.Header)
	}
	return m
}

// difference is what makes of the fields before those after; the caller's own stay.
func difference(before, after http.Header) *pb.HeaderMutation {
	out := &pb.HeaderMutation{}
	changed := http.Header{}
	for name, values := range after {
		if !slices.Equal(before[name], values) {
			changed[name] = values
		}
	}
	for name := range before {
		if _, stays := after[name]; !stays {
			out.RemoveHeaders = append(out.RemoveHeaders, strings.ToLower(name))
		}
	}
	slices.Sort(out.RemoveHeaders)
	out.SetHeaders = set(changed)
	return out
}

// immediate is a final answer that the caller gives in place of a server's.
func immediate(status int, fields http.Header, body []byte, why string) *pb.ProcessingResponse {
	return &pb.ProcessingResponse{Response: &pb.ProcessingResponse_ImmediateResponse{ImmediateResponse: &pb.ImmediateResponse{
		Status: &typev3.HttpStatus{Code: typev3.StatusCode(status)}, Headers: &pb.HeaderMutation{SetHeaders: set(fields)},
		Body: body, Details: "yokestall_" + why,
	}}}
}
