package proxy

import (
	"net/http"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// headerMap is a list of headers in the representation of the external processing protocol.
type headerMap []*corev3.HeaderValue

func (m *headerMap) add(name, value string) {
	*m = append(*m, &corev3.HeaderValue{Key: name, RawValue: []byte(value)})
}

func (m *headerMap) addAll(h http.Header) {
	for name, values := range h {
		for _, v := range values {
			m.add(strings.ToLower(name), v)
		}
	}
}

func (m headerMap) proto() *corev3.HeaderMap { return &corev3.HeaderMap{Headers: m} }

// ApplyMutation applies a processor's mutation (envoy.service.ext_proc.v3.HeaderMutation) to headers.
func ApplyMutation(h http.Header, m *pb.HeaderMutation) {
	for _, name := range m.GetRemoveHeaders() {
		h.Del(name)
	}
	for _, o := range m.GetSetHeaders() {
		name, value := o.GetHeader().GetKey(), string(o.GetHeader().GetRawValue())
		switch o.GetAppendAction() {
		case corev3.HeaderValueOption_APPEND_IF_EXISTS_OR_ADD:
			h.Add(name, value)
		case corev3.HeaderValueOption_ADD_IF_ABSENT:
			if h.Get(name) == "" {
				h.Set(name, value)
			}
		case corev3.HeaderValueOption_OVERWRITE_IF_EXISTS:
			if h.Get(name) != "" {
				h.Set(name, value)
			}
		default:
			h.Set(name, value)
		}
	}
}
