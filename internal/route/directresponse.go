package route

import (
	"net"
	"strconv"
	"strings"
)

// DirectResponse is a route's own response (route.v3.DirectResponseAction), or a redirect (route.v3.RedirectAction).
type DirectResponse struct {
	Status   int
	Body     string
	Redirect bool // the response is a redirect, by the fields below
	// Scheme, Host, Path, Prefix and Port replace parts of the request's URL; "" and 0 leave a part as it is. Prefix
	// replaces what a PathPrefix route has matched, unless there is a Path.
	Scheme, Host, Path, Prefix string
	Port                       int
	StripQuery                 bool
}

// Location returns the URL that a redirect of the route r leads to, given the parts of the request's URL.
func (d *DirectResponse) Location(r *Route, scheme, host, path, query string) string {
	if d.Scheme != "" {
		scheme = d.Scheme
	}
	if d.Host != "" {
		host = d.Host
	}
	if d.Port != 0 {
		host = withPort(host, d.Port)
	}
	switch {
	case d.Path != "":
		path = d.Path
	case d.Prefix != "":
		path = d.Prefix + strings.TrimPrefix(path, r.Path)
	}
	if query != "" && !d.StripQuery {
		path += "?" + query
	}
	return scheme + "://" + host + path
}

// withPort sets the port of a host, which may have another.
func withPort(host string, port int) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return net.JoinHostPort(strings.Trim(host, "[]"), strconv.Itoa(port))
}
