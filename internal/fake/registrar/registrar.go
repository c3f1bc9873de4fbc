// Package registrar is a stand-in for the platform's discovery: a list of servers that the caller
// changes, asked for whole or watched (protocol of the platform's registry over HTTP/1.1).
package registrar

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"yokestall/internal/discovery"
)

// maxWait bounds what a watch may ask for.
const maxWait = time.Minute

// Registrar serves one list. Create it with Start.
type Registrar struct {
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	generation uint64
	list       []discovery.Instance
	changed    chan struct{} // closed at the next change
}

// Start serves a list on a free port of 127.0.0.1.
func Start(list ...discovery.Instance) (*Registrar, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("registrar: %w", err)
	}
	r := &Registrar{listener: l, generation: 1, list: list, changed: make(chan struct{})}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	return r, nil
}

// Addr is where it listens.
func (r *Registrar) Addr() string { return r.listener.Addr().String() }

// Close ends it, and all watches.
func (r *Registrar) Close() error { return r.server.Close() }

// Set changes the list and tells the watches.
func (r *Registrar) Set(list ...discovery.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = list
	r.generation++
	close(r.changed)
	r.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (r *Registrar) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/registry/instances" {
		http.NotFound(w, q)
		return
	}
	after, err := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	wait := min(max(0, time.Duration(ms)*time.Millisecond), maxWait)
	r.mu.Lock()
	if err == nil && after >= r.generation {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-q.Context().Done():
			return
		}
		r.mu.Lock()
	}
	answer := struct {
		Generation uint64               `json:"generation"`
		Reset      bool                 `json:"reset"`
		Instances  []discovery.Instance `json:"instances"`
	}{r.generation, true, r.list}
	if err == nil && after >= r.generation { // nothing is newer
		answer.Reset, answer.Instances = false, []discovery.Instance{}
	}
	text, _ := json.Marshal(answer) // of plain fields
	r.mu.Unlock()
	w.Write(text)
}
