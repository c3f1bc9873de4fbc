package route

import (
	"net"
	"strconv"
	"strings"
)

// DirectResponse is what a route says by itself (route.v3.DirectResponseAction, RedirectAction).
type DirectResponse struct {
	Status int
	Body   string
	// For a redirect: what replaces the parts of the request's own URL; "" keeps one.
	Redirect                   bool
	Scheme, Host, Path, Prefix string
	Port                       int // 0: none is named
	StripQuery                 bool
}

// Location gives where a redirect leads to.
func (a *DirectResponse) Location(r *Route, scheme, host, path, query string) string {
	if a.Scheme != "" {
		scheme = a.Scheme
	}
	if a.Host != "" {
		host = a.Host
	}
	if a.Port != 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
		host = net.JoinHostPort(strings.Trim(host, "[]"), strconv.Itoa(a.Port))
	}
	switch {
	case a.Path != "":
		path = a.Path
	case a.Prefix != "":
		path = a.Prefix + strings.TrimPrefix(path, r.Path)
	}
	if query != "" && !a.StripQuery {
		path += "?" + query
	}
	return scheme + "://" + host + path
}
