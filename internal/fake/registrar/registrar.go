// Package registrar is a fake of the platform's discovery service. It serves an endpoint list, which the caller changes,
// to polls and long polls, over HTTP/1.1 in the protocol of the platform's registry.
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

// maxWait is the longest wait of a long poll.
const maxWait = time.Minute

// Registrar serves one endpoint list. Create it with Start. Its methods are safe for concurrent use.
type Registrar struct {
	listener net.Listener
	server   *http.Server

	// mu guards the fields below.
	mu         sync.Mutex
	generation uint64 // generation of the list, from 1; each change raises it by 1
	instances  []discovery.Instance
	changed    chan struct{} // closed at the next change of the list
}

// response is the body of the response to a poll.
type response struct {
	Generation uint64               `json:"generation"`
	Reset      bool                 `json:"reset"` // whether Instances is the complete list
	Instances  []discovery.Instance `json:"instances"`
}

// Start starts a registrar with the given list on a free port of 127.0.0.1.
func Start(instances ...discovery.Instance) (*Registrar, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting the fake registrar: %w", err)
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

// Set replaces the list, raises its generation and answers the waiting long polls.
func (r *Registrar) Set(instances ...discovery.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = instances
	r.generation++
	close(r.changed)
	r.changed = make(chan struct{})
}

// ServeHTTP answers a poll with the complete list. A poll with the query parameter "after", the generation of the
// client's list, is a long poll. It is answered with the complete list as soon as there is a later generation, or
// without instances after the number of milliseconds in "wait_ms".
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
	if isLongPoll && after >= r.generation { // the client already has the latest list
		answer.Reset, answer.Instances = false, []discovery.Instance{}
	}
	text, _ := json.Marshal(answer) // can't fail, since all fields have types that JSON can encode
	r.mu.Unlock()
	w.Write(text)
}

// requestedWait returns the wait that a long poll requests, from 0 to maxWait.
func requestedWait(query url.Values) time.Duration {
	milliseconds, _ := strconv.Atoi(query.Get("wait_ms"))
	return min(max(0, time.Duration(milliseconds)*time.Millisecond), maxWait)
}

// waitForChange waits until the list has a generation later than after, or until wait has passed. It returns false if ctx
// ends first.
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
