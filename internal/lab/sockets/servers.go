package sockets

import (
	"fmt"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/fake/modelbox"
)

// clusterName is the name of the one cluster.
const clusterName = "rooms"

// server is the server in a place, and its entry in the endpoint list. The run's mutex guards the entry.
type server struct {
	serial           int // from 1, over all places
	box              *modelbox.Server
	endpoint         cluster.Endpoint
	drainPublishedAt time.Time // zero: it was not
}

// startServer puts a new server into a place; cold: it has just started, and warms up.
func (r *run) startServer(place int, cold bool) error {
	box, err := modelbox.Start(&r.experiment.Day.ServerKind, r.experiment.Seed+uint64(place))
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSerial++
	s := &server{
		serial:   r.lastSerial,
		box:      box,
		endpoint: cluster.Endpoint{ID: fmt.Sprint("s-", r.lastSerial), Address: box.Addr, Weight: 1},
	}
	if cold {
		if err := box.Up(); err != nil {
			return err
		}
		s.endpoint.StartedMs = time.Now().UnixMilli()
	}
	r.servers = append(r.servers, box)
	if place < len(r.places) {
		r.places[place] = s
	} else {
		r.places = append(r.places, s)
	}
	r.placeByKey[s.endpoint.Key()] = place
	return nil
}

// serverAt returns the server that is in a place now.
func (r *run) serverAt(place int) *server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.places[place]
}

// endpoints returns the present endpoints, by place.
func (r *run) endpoints() []cluster.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]cluster.Endpoint, len(r.places))
	for i, s := range r.places {
		list[i] = s.endpoint
	}
	return list
}

// setStarted records that a server has started again.
func (r *run) setStarted(s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.endpoint.StartedMs = time.Now().UnixMilli()
}

// setDraining records that a server drains.
func (r *run) setDraining(s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.endpoint.Health = cluster.Draining
}

// notePublishedDrains notes the servers whose drain has now been published.
func (r *run) notePublishedDrains() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.places {
		if s.endpoint.Health == cluster.Draining && s.drainPublishedAt.IsZero() {
			s.drainPublishedAt = time.Now()
			r.deployment.drainPublished(s.serial)
		}
	}
}
