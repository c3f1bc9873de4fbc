package sockets

import (
	"fmt"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/fake/modelbox"
)

// clusterName is the name of the only cluster.
const clusterName = "rooms"

// server is a modelled server with its entry in the endpoint list. A slot is a position in the endpoint list; when a
// server has drained, a new server takes its slot. The run's mutex guards endpoint and drainPublishedAt.
type server struct {
	serial           int // number in the order of starts, from 1, over all slots
	box              *modelbox.Server
	endpoint         cluster.Endpoint
	drainPublishedAt time.Time // zero if no drain was published
}

// startServer starts a new server in a slot. If cold is set, the server warms up, and the endpoint list has its start time.
func (r *run) startServer(slot int, cold bool) error {
	box, err := modelbox.Start(&r.experiment.Day.ServerKind, r.experiment.Seed+uint64(slot))
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
	if slot < len(r.slots) {
		r.slots[slot] = s
	} else {
		r.slots = append(r.slots, s)
	}
	r.slotByKey[s.endpoint.Key()] = slot
	return nil
}

// serverAt returns the present server of a slot.
func (r *run) serverAt(slot int) *server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slots[slot]
}

// endpoints returns the present endpoints in the order of their slots.
func (r *run) endpoints() []cluster.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]cluster.Endpoint, len(r.slots))
	for i, s := range r.slots {
		list[i] = s.endpoint
	}
	return list
}

// setStarted sets the start time of a server that has started again.
func (r *run) setStarted(s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.endpoint.StartedMs = time.Now().UnixMilli()
}

// setDraining marks a server as draining in the endpoint list.
func (r *run) setDraining(s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.endpoint.Health = cluster.Draining
}

// notePublishedDrains records the present time as that of the publication of all drains not yet recorded, and notifies
// the deployment of each.
func (r *run) notePublishedDrains() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.slots {
		if s.endpoint.Health == cluster.Draining && s.drainPublishedAt.IsZero() {
			s.drainPublishedAt = time.Now()
			r.deployment.drainPublished(s.serial)
		}
	}
}
