package forwarded

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"

	"go4.org/netipx"
)

// Rules are an operator's settings. The zero value trusts no proxy.
type Rules struct {
	TrustedProxies *netipx.IPSet // networks of the proxies in front; nil: none
	WriteForwarded bool          // adds Forwarded (RFC 7239) beside X-Forwarded-*
}

// ParseTrustedProxies parses networks ("10.0.0.0/8"), addresses and ranges ("10.0.0.1-10.0.0.9"); the set of none is
// nil. The error names the first text that is wrong.
func ParseTrustedProxies(list []string) (*netipx.IPSet, error) {
	if len(list) == 0 {
		return nil, nil
	}
	var b netipx.IPSetBuilder
	for _, text := range list {
		if p, err := netip.ParsePrefix(text); err == nil {
			if p != p.Masked() {
				return nil, fmt.Errorf("%q: the network is %s", text, p.Masked())
			}
			b.AddPrefix(p)
		} else if a, err := netip.ParseAddr(text); err == nil {
			b.Add(a)
		} else if r, err := netipx.ParseIPRange(text); err == nil {
			b.AddRange(r)
		} else {
			return nil, fmt.Errorf("%q is no network, address or range", text)
		}
	}
	return b.IPSet()
}

// Trusts reports whether an address is a trusted proxy's.
func (r *Rules) Trusts(a netip.Addr) bool {
	return r.TrustedProxies != nil && a.IsValid() && r.TrustedProxies.Contains(a.Unmap())
}

// Client returns the address of the client: the last one on the request's way, counted from this program, that is not a
// trusted proxy's.
func (r *Rules) Client(q *http.Request) netip.Addr {
	client := ParseAddr(q.RemoteAddr)
	hops := strings.Split(strings.Join(q.Header["X-Forwarded-For"], ","), ",")
	for i := len(hops) - 1; i >= 0 && r.Trusts(client); i-- {
		a, err := netip.ParseAddr(strings.TrimSpace(hops[i]))
		if err != nil {
			break // a proxy could not name what is before it
		}
		client = a.Unmap()
	}
	return client
}

// ParseAddr returns the address in host:port; the zero Addr if there is none.
func ParseAddr(hostport string) netip.Addr {
	a, err := netip.ParseAddrPort(hostport)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap().WithZone("")
}
