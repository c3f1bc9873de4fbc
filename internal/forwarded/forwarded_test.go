package forwarded

import (
	"net/http"
	"strings"
	"testing"
)

func TestApply(t *testing.T) {
	for _, tc := range []struct {
		name, trust, peer string
		in                http.Header
		out               http.Header
		client            string
	}{
		{"a client", "", "192.0.2.1:5", http.Header{}, http.Header{"X-Forwarded-For": {"192.0.2.1"}, "X-Forwarded-Proto": {"http"}}, "192.0.2.1"},
		{"a client that lies", "10.0.0.0/8", "192.0.2.1:5", http.Header{"X-Forwarded-For": {"10.0.0.1"}, "X-Forwarded-Proto": {"https"}, "Forwarded": {"for=x"}, "X-Original-Url": {"/admin"}},
			http.Header{"X-Forwarded-For": {"192.0.2.1"}, "X-Forwarded-Proto": {"http"}, "X-Original-Url": nil}, "192.0.2.1"},
		{"a proxy", "10.0.0.0/8", "10.0.0.1:5", http.Header{"X-Forwarded-For": {"192.0.2.1"}, "X-Forwarded-Proto": {"https"}},
			http.Header{"X-Forwarded-For": {"192.0.2.1, 10.0.0.1"}, "X-Forwarded-Proto": {"https"}}, "192.0.2.1"},
		{"behind two, with a lie before them", "10.0.0.0/8 172.16.0.1", "10.0.0.1:5", http.Header{"X-Forwarded-For": {"1.1.1.1, 192.0.2.1", "172.16.0.1"}},
			http.Header{"X-Forwarded-For": {"1.1.1.1, 192.0.2.1, 172.16.0.1, 10.0.0.1"}}, "192.0.2.1"},
		{"a proxy that could not name it", "10.0.0.0/8", "10.0.0.1:5", http.Header{"X-Forwarded-For": {"unknown"}},
			http.Header{"X-Forwarded-For": {"unknown, 10.0.0.1"}}, "10.0.0.1"},
		{"IPv6", "2001:db8::/32", "[2001:db8::1]:5", http.Header{}, http.Header{"X-Forwarded-For": {"2001:db8::1"},
			"Forwarded": {`for="[2001:db8::1]";host="a";proto=http`}}, "2001:db8::1"},
		{"IPv4 within IPv6", "10.0.0.0/8", "[::ffff:10.0.0.1]:5", http.Header{"X-Forwarded-For": {"192.0.2.1"}}, http.Header{"X-Forwarded-For": {"192.0.2.1, 10.0.0.1"}}, "192.0.2.1"},
	} {
		trust, err := ParseTrustedProxies(strings.Fields(tc.trust))
		if err != nil {
			t.Fatal(err)
		}
		r := &Rules{TrustedProxies: trust, WriteForwarded: true}
		q := &http.Request{RemoteAddr: tc.peer, Host: "a", Header: tc.in.Clone()}
		if got := r.Client(&http.Request{RemoteAddr: tc.peer, Header: tc.in}).String(); got != tc.client {
			t.Errorf("%s: the client is %s, want %s", tc.name, got, tc.client)
		}
		if err := r.Apply(q); err != nil {
			t.Errorf("%s: %v", tc.name, err)
		}
		for name, want := range tc.out {
			if got := q.Header[name]; strings.Join(got, "|") != strings.Join(want, "|") {
				t.Errorf("%s: %s is %q, want %q", tc.name, name, got, want)
			}
		}
	}
	many := &http.Request{RemoteAddr: "10.0.0.1:5", Header: http.Header{"X-Forwarded-For": {strings.Repeat("1.1.1.1,", MaxHops)}}}
	trust, _ := ParseTrustedProxies([]string{"10.0.0.1"})
	if err := (&Rules{TrustedProxies: trust}).Apply(many); err == nil {
		t.Error("no bound on hops")
	}
	for _, bad := range []string{"10.0.0.1/8", "x", "10.0.0.9-10.0.0.1", ""} {
		if _, err := ParseTrustedProxies([]string{bad}); err == nil || !strings.Contains(err.Error(), bad) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
