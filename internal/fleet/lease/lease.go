// Package lease defines the lease timing of a fleet and the policy of a node that has lost its lease. It has no state
// and does no I/O.
package lease

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// renewalsPerTerm is how many times a holder renews within the term that it counts on: three attempts may fail.
const renewalsPerTerm = 4

// Config is the timing of leases. All nodes of a fleet must use the same values.
type Config struct {
	Duration      time.Duration // of a lease, in true time
	MaxClockDrift float64       // largest deviation of a clock's rate from true time: 0.1 is 10 %
	ApplyTimeout  time.Duration // within which a node applies a version that it has heard of
}

// HolderTerm is how long a lease's holder may rely on it, measured on the holder's clock. A slow clock shows less
// time than has passed, so the term is the lease's duration as the slowest allowed clock shows it.
func (c Config) HolderTerm() time.Duration {
	return time.Duration(float64(c.Duration) * (1 - c.MaxClockDrift))
}

// GranterTerm is how long the voter that granted a lease has to honor it, measured on the voter's clock: the lease's
// duration as the fastest allowed clock shows it.
func (c Config) GranterTerm() time.Duration {
	return time.Duration(math.Ceil(float64(c.Duration) * (1 + c.MaxClockDrift)))
}

// ActivationBound is the longest time from when a version is committed to the log until no node acts on a version
// that it contradicts: by then each node has confirmed, or its last lease has expired even on the slowest voter's
// clock.
func (c Config) ActivationBound() time.Duration {
	return time.Duration(float64(c.GranterTerm())/(1-c.MaxClockDrift)) + c.ApplyTimeout
}

// RenewInterval is the time between two lease requests of a holder.
func (c Config) RenewInterval() time.Duration { return c.HolderTerm() / renewalsPerTerm }

// DisconnectedAction is how a node without a lease treats one kind of rule. Such a node can't know which version the
// others act on.
type DisconnectedAction uint8

// The actions, the strictest first.
const (
	Refuse    DisconnectedAction = iota // refuse every request that the rule affects
	Cautious                            // do only what no later version could contradict, and refuse the rest
	ServeLast                           // go on as the last known version says, which a later version may contradict
)

var disconnectedActions = map[string]DisconnectedAction{"refuse": Refuse, "cautious": Cautious, "serve-last": ServeLast}

// ParseDisconnectedAction parses an action as configuration files write it.
func ParseDisconnectedAction(word string) (DisconnectedAction, error) {
	if action, ok := disconnectedActions[word]; ok {
		return action, nil
	}
	return 0, fmt.Errorf("%q is none of %v", word, slices.Sorted(maps.Keys(disconnectedActions)))
}

// DisconnectedPolicy is what a node does after its lease has expired, by kind of rule.
type DisconnectedPolicy struct {
	// Effect, scope and window of classes. Cautious: one attempt for each request, no second copy, no retry
	Effects DisconnectedAction
	Routes  DisconnectedAction // routes of classes that are not safe. Cautious: their requests are refused
	// The lists of servers. Cautious: only safe requests are served, and none by servers that may still be cold
	Servers DisconnectedAction
	// MaxDuration is how long after its lease's end the node serves at all; 0: without limit.
	MaxDuration time.Duration
}
