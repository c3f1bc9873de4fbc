package extproc

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// setHeaders returns options that set the given fields, ordered by name. The first value of a field replaces the values
// that the message has; the others are appended.
func setHeaders(fields http.Header) []*corev3.HeaderValueOption {
	options := make([]*corev3.HeaderValueOption, 0, len(fields))
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		for i, value := range fields[name] {
			action := corev3.HeaderValueOption_APPEND_IF_EXISTS_OR_ADD
			if i == 0 {
				action = corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD
			}
			options = append(options, &corev3.HeaderValueOption{
				Header:         &corev3.HeaderValue{Key: strings.ToLower(name), RawValue: []byte(value)},
				AppendAction:   action,
				KeepEmptyValue: true,
			})
		}
	}
	return options
}

// headerMap returns fields in the form of a message's headers. If status is not 0, :status is the first of them.
func headerMap(status int, fields http.Header) *corev3.HeaderMap {
	m := &corev3.HeaderMap{}
	if status > 0 {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: ":status", RawValue: fmt.Append(nil, status)})
	}
	for _, o := range setHeaders(fields) {
		m.Headers = append(m.Headers, o.Header)
	}
	return m
}

// headerMutation returns the mutation that changes the fields before into after. Unchanged fields are left out.
func headerMutation(before, after http.Header) *pb.HeaderMutation {
	out := &pb.HeaderMutation{}
	changed := http.Header{}
	for name, values := range after {
		if !slices.Equal(before[name], values) {
			changed[name] = values
		}
	}
	for name := range before {
		if _, remains := after[name]; !remains {
			out.RemoveHeaders = append(out.RemoveHeaders, strings.ToLower(name))
		}
	}
	slices.Sort(out.RemoveHeaders)
	out.SetHeaders = setHeaders(changed)
	return out
}
