package route

import (
	"net"
	"strconv"
	"strings"
)

// DirectResponse is a response that is sent without a cluster: a fixed response (route.v3.DirectResponseAction) or a
// redirect (route.v3.RedirectAction).
type DirectResponse struct {
	Status   int
	Body     string
	Redirect bool // the response is a redirect to the URL that Location returns
	// Scheme, Host, Path, Prefix and Port of a redirect replace parts of the request's URL; "" and 0 leave a part as it
	// is. Prefix replaces the prefix that a PathPrefix route has matched, and has no effect if Path is set.
	Scheme, Host, Path, Prefix string
	Port                       int
	StripQuery                 bool
}

// Location returns the target URL of a redirect, given the redirect's route and the parts of the request's URL.
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

// withPort returns the host with the given port, in place of a port that the host may have.
func withPort(host string, port int) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return net.JoinHostPort(strings.Trim(host, "[]"), strconv.Itoa(port))
}
