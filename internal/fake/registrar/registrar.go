// Package registrar is a fake of the platform's discovery service: a list of servers that the caller changes, and that
// clients poll or watch by long polls (protocol of the platform's registry over HTTP/1.1).
package registrar

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"yokestall/internal/discovery"
)

// maxWait bounds the wait of a long poll.
const maxWait = time.Minute

// Registrar serves one list. Create it with Start; its methods are safe for concurrent use.
type Registrar struct {
	listener net.Listener
	server   *http.Server

	// mu guards the fields below.
	mu         sync.Mutex
	generation uint64 // of the list, from 1
	instances  []discovery.Instance
	changed    chan struct{} // closed at the next change
}

// response is the body of an answer.
type response struct {
	Generation uint64               `json:"generation"`
	Reset      bool                 `json:"reset"` // Instances is the complete list
	Instances  []discovery.Instance `json:"instances"`
}

// Start serves a list on a free port of 127.0.0.1.
func Start(instances ...discovery.Instance) (*Registrar, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("registrar: %w", err)
	}
	r := &Registrar{listener: listener, generation: 1, instances: instances, changed: make(chan struct{})}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(listener)
	return r, nil
}

// Addr returns the address that the registrar listens on.
func (r *Registrar) Addr() string { return r.listener.Addr().String() }

// Close closes the registrar and its connections.
func (r *Registrar) Close() error { return r.server.Close() }

// Set replaces the list and answers the long polls that wait.
func (r *Registrar) Set(instances ...discovery.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = instances
	r.generation++
	close(r.changed)
	r.changed = make(chan struct{})
}

// ServeHTTP answers a poll with the list. A long poll, which names the generation that the client has in "after", is
// answered once there is a later one, or without instances after "wait_ms" milliseconds.
func (r *Registrar) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/registry/instances" {
		http.NotFound(w, request)
		return
	}
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	isLongPoll := err == nil
	if isLongPoll && !r.waitForChange(request.Context(), after, requestedWait(query)) {
		return
	}
	r.mu.Lock()
	answer := response{Generation: r.generation, Reset: true, Instances: r.instances}
	if isLongPoll && after >= r.generation { // the client has the latest list
		answer.Reset, answer.Instances = false, []discovery.Instance{}
	}
	text, _ := json.Marshal(answer) // cannot fail: all fields are plain
	r.mu.Unlock()
	w.Write(text)
}

// requestedWait returns the wait that a long poll requests.
func requestedWait(query url.Values) time.Duration {
	milliseconds, _ := strconv.Atoi(query.Get("wait_ms"))
	return min(max(0, time.Duration(milliseconds)*time.Millisecond), maxWait)
}

// waitForChange waits for a generation later than after, at most for a time. It returns false if ctx ended first.
func (r *Registrar) waitForChange(ctx context.Context, after uint64, wait time.Duration) bool {
	r.mu.Lock()
	generation, changed := r.generation, r.changed
	r.mu.Unlock()
	if after < generation {
		return true
	}
	select {
	case <-changed:
		return true
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}
