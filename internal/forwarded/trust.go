package forwarded

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"

	"go4.org/netipx"
)

// Rules are an operator's settings for these header fields. The zero value trusts no proxy.
type Rules struct {
	TrustedProxies *netipx.IPSet // addresses of the trusted proxies in front of this program; nil: none
	WriteForwarded bool          // also write Forwarded (RFC 7239), in addition to X-Forwarded-*
}

// ParseTrustedProxies parses networks ("10.0.0.0/8"), addresses and ranges ("10.0.0.1-10.0.0.9") to one set, which is nil
// for an empty list. The error names the first invalid text.
func ParseTrustedProxies(list []string) (*netipx.IPSet, error) {
	if len(list) == 0 {
		return nil, nil
	}
	var b netipx.IPSetBuilder
	for _, text := range list {
		if p, err := netip.ParsePrefix(text); err == nil {
			if p != p.Masked() {
				return nil, fmt.Errorf("%q has host bits set, the network is %s", text, p.Masked())
			}
			b.AddPrefix(p)
		} else if a, err := netip.ParseAddr(text); err == nil {
			b.Add(a)
		} else if r, err := netipx.ParseIPRange(text); err == nil {
			b.AddRange(r)
		} else {
			return nil, fmt.Errorf("%q is not a network, an address or a range of addresses", text)
		}
	}
	return b.IPSet()
}

// Trusts reports whether an address belongs to a trusted proxy.
func (r *Rules) Trusts(a netip.Addr) bool {
	return r.TrustedProxies != nil && a.IsValid() && r.TrustedProxies.Contains(a.Unmap())
}

// Client returns the address of the client. Client begins with the address of the peer, goes through X-Forwarded-For from
// its last entry to its first, and stops at the first address that isn't a trusted proxy's. If all are trusted proxies'
// addresses, or if it reaches an entry that is not an address, it returns the address that it read before stopping.
func (r *Rules) Client(q *http.Request) netip.Addr {
	client := ParseAddr(q.RemoteAddr)
	hops := strings.Split(strings.Join(q.Header["X-Forwarded-For"], ","), ",")
	for i := len(hops) - 1; i >= 0 && r.Trusts(client); i-- {
		a, err := netip.ParseAddr(strings.TrimSpace(hops[i]))
		if err != nil {
			break // the proxy at client does not know the address before it
		}
		client = a.Unmap()
	}
	return client
}

// ParseAddr returns the address in an address:port without its zone, and an IPv4-mapped IPv6 address as IPv4. It returns
// the zero Addr for any other text.
func ParseAddr(hostport string) netip.Addr {
	a, err := netip.ParseAddrPort(hostport)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap().WithZone("")
}
