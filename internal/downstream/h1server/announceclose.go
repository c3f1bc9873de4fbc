package h1server

import "net/http"

// closeAnnouncer is the ResponseWriter of one request. It has the answer announce the close of its connection if the server
// closes connections after responses when the answer goes out. The state when the request began does not count: the answer may
// come much later, and a client that is not told may write its next request while the connection is closed.
type closeAnnouncer struct {
	http.ResponseWriter
	server *Server
}

// WriteHeader implements http.ResponseWriter.
func (a closeAnnouncer) WriteHeader(status int) {
	if status >= http.StatusOK && a.server.closesAfterResponses() {
		a.Header().Set("Connection", "close") // HTTP/2's server sends GOAWAY in its place
	}
	a.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the ResponseWriter of net/http, for http.ResponseController.
func (a closeAnnouncer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// closesAfterResponses reports whether responses close their connections, so that clients connect to other nodes.
func (s *Server) closesAfterResponses() bool {
	return s.closingAfterResponses.Load() || s.lameDuck.Load()
}
