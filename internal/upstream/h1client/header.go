package h1client

import (
	"net/http"
	"strings"
)

// hopByHopFields lists the header fields that apply to a single connection and must not be forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeader removes the header fields that must not be forwarded (RFC 9110, 7.6.1), and those that are written anew
// for each connection. It modifies its argument in place and returns it.
func EndToEndHeader(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		delete(h, name)
	}
	delete(h, "Expect") // the net/http server has handled the expectation
	delete(h, "Content-Length")
	return h
}
