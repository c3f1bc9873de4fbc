package forwarded

import (
	"net/http"
	"strings"
	"testing"
)

func TestApply(t *testing.T) {
	for _, tc := range []struct {
		name, trusted, peer string
		header              http.Header
		want                http.Header // the fields to check; nil: absent
		client              string
	}{
		{
			name: "a client", peer: "192.0.2.1:5",
			header: http.Header{},
			want:   http.Header{"X-Forwarded-For": {"192.0.2.1"}, "X-Forwarded-Proto": {"http"}},
			client: "192.0.2.1",
		},
		{
			name: "a client that lies", trusted: "10.0.0.0/8", peer: "192.0.2.1:5",
			header: http.Header{
				"X-Forwarded-For": {"10.0.0.1"}, "X-Forwarded-Proto": {"https"}, "Forwarded": {"for=x"},
				"X-Original-Url": {"/admin"},
			},
			want: http.Header{
				"X-Forwarded-For": {"192.0.2.1"}, "X-Forwarded-Proto": {"http"}, "X-Original-Url": nil,
			},
			client: "192.0.2.1",
		},
		{
			name: "a proxy", trusted: "10.0.0.0/8", peer: "10.0.0.1:5",
			header: http.Header{"X-Forwarded-For": {"192.0.2.1"}, "X-Forwarded-Proto": {"https"}},
			want:   http.Header{"X-Forwarded-For": {"192.0.2.1, 10.0.0.1"}, "X-Forwarded-Proto": {"https"}},
			client: "192.0.2.1",
		},
		{
			name: "behind two proxies, with a lie before them", trusted: "10.0.0.0/8 172.16.0.1", peer: "10.0.0.1:5",
			header: http.Header{"X-Forwarded-For": {"1.1.1.1, 192.0.2.1", "172.16.0.1"}},
			want:   http.Header{"X-Forwarded-For": {"1.1.1.1, 192.0.2.1, 172.16.0.1, 10.0.0.1"}},
			client: "192.0.2.1",
		},
		{
			name: "a proxy that could not name its client", trusted: "10.0.0.0/8", peer: "10.0.0.1:5",
			header: http.Header{"X-Forwarded-For": {"unknown"}},
			want:   http.Header{"X-Forwarded-For": {"unknown, 10.0.0.1"}},
			client: "10.0.0.1",
		},
		{
			name: "IPv6", trusted: "2001:db8::/32", peer: "[2001:db8::1]:5",
			header: http.Header{},
			want: http.Header{
				"X-Forwarded-For": {"2001:db8::1"}, "Forwarded": {`for="[2001:db8::1]";host="a";proto=http`},
			},
			client: "2001:db8::1",
		},
		{
			name: "IPv4 within IPv6", trusted: "10.0.0.0/8", peer: "[::ffff:10.0.0.1]:5",
			header: http.Header{"X-Forwarded-For": {"192.0.2.1"}},
			want:   http.Header{"X-Forwarded-For": {"192.0.2.1, 10.0.0.1"}},
			client: "192.0.2.1",
		},
	} {
		trusted, err := ParseTrustedProxies(strings.Fields(tc.trusted))
		if err != nil {
			t.Fatal(err)
		}
		r := &Rules{TrustedProxies: trusted, WriteForwarded: true}
		q := &http.Request{RemoteAddr: tc.peer, Host: "a", Header: tc.header.Clone()}
		if got := r.Client(&http.Request{RemoteAddr: tc.peer, Header: tc.header}).String(); got != tc.client {
			t.Errorf("%s: got client %s, want %s", tc.name, got, tc.client)
		}
		if err := r.Apply(q); err != nil {
			t.Errorf("%s: got error %v from Apply, want none", tc.name, err)
		}
		for name, want := range tc.want {
			if got := q.Header[name]; strings.Join(got, "|") != strings.Join(want, "|") {
				t.Errorf("%s: got %s %q, want %q", tc.name, name, got, want)
			}
		}
	}
}

func TestApplyLimitsHops(t *testing.T) {
	q := &http.Request{
		RemoteAddr: "10.0.0.1:5",
		Header:     http.Header{"X-Forwarded-For": {strings.Repeat("1.1.1.1,", MaxHops)}},
	}
	trusted, _ := ParseTrustedProxies([]string{"10.0.0.1"})
	if err := (&Rules{TrustedProxies: trusted}).Apply(q); err == nil {
		t.Error("Apply returned no error for more than MaxHops hops")
	}
}

func TestParseTrustedProxiesErrors(t *testing.T) {
	for _, text := range []string{"10.0.0.1/8", "x", "10.0.0.9-10.0.0.1", ""} {
		if _, err := ParseTrustedProxies([]string{text}); err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("%q: got error %v, want one that contains the text", text, err)
		}
	}
}
