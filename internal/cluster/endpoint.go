package cluster

import (
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"strings"
)

// The limits of an endpoint's fields.
const (
	MaxNameBytes = 128 // length of a cluster's name, an endpoint's id or a zone
	MaxWeight    = 1e6
	MaxPriority  = 15 // the least preferred priority
)

// Health is the state of an endpoint as the cluster's source gives it.
type Health uint8

// The health states of an endpoint.
const (
	Healthy   Health = iota
	Draining         // the endpoint finishes its requests and gets no new ones
	Unhealthy        // the endpoint gets no new requests
	Degraded         // the endpoint gets requests if the healthy endpoints are not enough
)

// healthNames are the names of the health states in configuration files, by Health.
var healthNames = []string{"healthy", "draining", "unhealthy", "degraded"}

// String returns the name of the health state in configuration files.
func (h Health) String() string { return healthNames[h] }

// ParseHealth parses the name of a health state in configuration files; "" is Healthy. It returns an error for an unknown
// name.
func ParseHealth(name string) (Health, error) {
	if name == "" {
		return Healthy, nil
	}
	if i := slices.Index(healthNames, name); i >= 0 {
		return Health(i), nil
	}
	return 0, fmt.Errorf("%q is none of %s", name, strings.Join(healthNames, ", "))
}

// Endpoint is a server process that requests of a cluster are sent to.
type Endpoint struct {
	ID        string
	Address   string // host:port
	Zone      string
	Cell      int     // group of endpoints within a zone; 0 or more
	Weight    float64 // approximate capacity, above 0 up to MaxWeight; 0: unknown
	Health    Health
	StartedMs int64 // time of the latest start, in Unix milliseconds; 0: unknown, long past
	// Priority is from 0, which is preferred, to MaxPriority.
	Priority int
}

// Serves reports whether new requests may be sent to the endpoint.
func (e *Endpoint) Serves() bool { return e.Health == Healthy || e.Health == Degraded }

// Key returns a hash of the endpoint's id and address, which is the same on every node. If an endpoint's address changes,
// its key changes too, so that neither statistics nor connections of the process at the former address are used for the
// process at the new one.
func (e *Endpoint) Key() uint64 {
	h := fnv.New64a()
	io.WriteString(h, e.ID)
	h.Write([]byte{0})
	io.WriteString(h, e.Address)
	return h.Sum64()
}

// compareIDs orders endpoints by id.
func compareIDs(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) }
