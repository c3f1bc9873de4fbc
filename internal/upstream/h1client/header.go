package h1client

import (
	"net/http"
	"strings"
)

// hopByHop lists the fields that belong to a connection, not to a message.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeader removes the fields that are not forwarded (RFC 9110, 7.6.1) and those that are written anew. It
// changes and returns its argument.
func EndToEndHeader(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	delete(h, "Expect") // net/http's server has met it
	delete(h, "Content-Length")
	return h
}
