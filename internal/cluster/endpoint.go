package cluster

import (
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"strings"
)

// The ranges of an endpoint's fields.
const (
	MaxNameBytes = 128 // of a cluster's name, an endpoint's id or a zone
	MaxWeight    = 1e6
	MaxPriority  = 15 // the last one to be used
)

// Health is what a source says of an endpoint.
type Health uint8

// The states of health of an endpoint.
const (
	Healthy   Health = iota
	Draining         // finishes the requests it has and gets no new ones
	Unhealthy        // gets no new requests
	Degraded         // gets requests where the healthy endpoints are not enough
)

// healthNames are the names in configuration files, by Health.
var healthNames = []string{"healthy", "draining", "unhealthy", "degraded"}

// String returns the name that configuration files have for the health.
func (h Health) String() string { return healthNames[h] }

// ParseHealth parses the name of a health; "" is Healthy. It returns an error for any other unknown name.
func ParseHealth(name string) (Health, error) {
	if name == "" {
		return Healthy, nil
	}
	if i := slices.Index(healthNames, name); i >= 0 {
		return Health(i), nil
	}
	return 0, fmt.Errorf("%q is none of %s", name, strings.Join(healthNames, ", "))
}

// Endpoint is what requests of a cluster are sent to.
type Endpoint struct {
	ID        string
	Address   string // host:port
	Zone      string
	Cell      int     // a group of endpoints within a zone; 0 or more
	Weight    float64 // approximate capacity, above 0 up to MaxWeight; 0: unknown
	Health    Health
	StartedMs int64 // when it last started, in Unix milliseconds; 0: long ago
	// Priority is from 0, the first to be used, to MaxPriority.
	Priority int
}

// Serves reports whether new requests may be sent to the endpoint.
func (e *Endpoint) Serves() bool { return e.Health == Healthy || e.Health == Degraded }

// Key returns a hash of the endpoint's id and address, which is the same on every node. An endpoint whose address
// changes under the same id gets another key, so that neither statistics nor connections of the former process are
// used for the new one.
func (e *Endpoint) Key() uint64 {
	h := fnv.New64a()
	io.WriteString(h, e.ID)
	h.Write([]byte{0})
	io.WriteString(h, e.Address)
	return h.Sum64()
}

// compareIDs orders endpoints by id.
func compareIDs(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) }
