package modelbox

import "net/http"

// Event is an event in the processing of a request by a server.
type Event uint8

const (
	// Arrived means that the server received the request.
	Arrived Event = iota
	// Completed means that the request had its effect.
	Completed
	// Overloaded means that the request overloaded the server, which stopped.
	Overloaded
)

// Watch registers a function that is called with each event and the request's ID. It replaces the previous function.
func (s *Server) Watch(observer func(event Event, requestID string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer = observer
}

// notify calls the observer, if there is one, with an event of a request. The caller must not hold s.mu.
func (s *Server) notify(event Event, r *http.Request) {
	s.mu.Lock()
	observer := s.observer
	s.mu.Unlock()
	if observer != nil {
		observer(event, requestID(r))
	}
}

// requestID returns the value of the request's header X-Request-Id.
func requestID(r *http.Request) string { return r.Header.Get("X-Request-Id") }
