// Package terms holds the figures by which a fleet agrees: what a lease is worth, and what a node does without one. It is pure.
package terms

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Terms are the figures of leases, the same at every node of a fleet.
type Terms struct {
	Lease time.Duration // that a voter grants, in true time
	Drift float64       // most that a clock's rate differs from true time: 0.1 is a tenth
	Take  time.Duration // that a node needs to take a version once it has heard of it
}

// Hold is how long the one who was granted a lease counts on it, by its own clock: no longer than the lease on the
// slowest clock allowed, which shows less time than has passed.
func (t Terms) Hold() time.Duration { return time.Duration(float64(t.Lease) * (1 - t.Drift)) }

// Keep is how long the one who granted it counts on it: no less than the lease, on the fastest clock allowed.
func (t Terms) Keep() time.Duration {
	return time.Duration(math.Ceil(float64(t.Lease) * (1 + t.Drift)))
}

// Bound is the longest time from a version's place in the log until nobody acts on what it contradicts: every node has
// confirmed, or its last lease has ended on the clock of the slowest voter that counts it.
func (t Terms) Bound() time.Duration {
	return time.Duration(float64(t.Keep())/(1-t.Drift)) + t.Take
}

// Renew is how often a lease is asked for again: three tries fit before it ends.
func (t Terms) Renew() time.Duration { return t.Hold() / 4 }

// Caution is what a node does by a kind of rule once its lease is over: then it can't know what the others act on.
type Caution uint8

// The cautions, from the strictest.
const (
	Refuse    Caution = iota // nothing that the rule touches is served
	Cautious                 // what contradicts no version that could follow; where nothing does, refuse
	ServeLast                // as the last version says: it may contradict one that has followed
)

var cautions = map[string]Caution{"refuse": Refuse, "cautious": Cautious, "serve-last": ServeLast}

// ParseCaution reads a caution's word.
func ParseCaution(word string) (Caution, error) {
	if c, ok := cautions[word]; ok {
		return c, nil
	}
	return 0, fmt.Errorf("%q is none of %v", word, slices.Sorted(maps.Keys(cautions)))
}

// Alone say what a node does that has lost its lease, by kind of rule.
type Alone struct {
	Effects Caution // effect, scope and window of classes. Cautious: one attempt for each request, no copy, no repeat
	Routes  Caution // where classes that are not safe lead. Cautious: their requests are refused
	Lists   Caution // servers. Cautious: only safe requests go to them, none to servers that may still be cold
	// For is how long after its lease's end anything is served at all; 0: for as long as it lasts.
	For time.Duration
}
