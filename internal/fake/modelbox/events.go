package modelbox

import "net/http"

// Event is something that happens to a request at a server.
type Event uint8

const (
	// Arrived is a request that reached the server.
	Arrived Event = iota
	// Completed is a request that took effect.
	Completed
	// Overloaded is a request that made the server stop for overload.
	Overloaded
)

// Watch notifies a function of each event with the request's id. It replaces an earlier function.
func (s *Server) Watch(observer func(event Event, requestID string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer = observer
}

// notify notifies the observer of a request's event. mu must not be locked.
func (s *Server) notify(event Event, r *http.Request) {
	s.mu.Lock()
	observer := s.observer
	s.mu.Unlock()
	if observer != nil {
		observer(event, requestID(r))
	}
}

// requestID returns a request's id.
func requestID(r *http.Request) string { return r.Header.Get("X-Request-Id") }
