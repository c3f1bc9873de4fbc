package fleetsim

import (
	"time"

	"yokestall/policy"
)

// Decider decides for one node; *policy.Balancer is one.
type Decider interface {
	Request(now time.Duration, q policy.Request)
	Outcome(now time.Duration, o policy.Outcome)
	ClientDisconnected(now time.Duration, id policy.RequestID)
	Timer(now time.Duration, token uint64)
	UpdateEndpoints(now time.Duration, kind policy.UpdateKind, entries []policy.Endpoint)
}

// DeciderFactory makes the decider of a node that starts. Its errors are of the settings.
type DeciderFactory func(set policy.Settings, seed uint64, host policy.Host) (Decider, error)

// NewBalancer makes a policy.Balancer.
func NewBalancer(set policy.Settings, seed uint64, host policy.Host) (Decider, error) {
	return policy.New(set, seed, host)
}

// snapshotter is a Decider whose state can be restored after a restart.
type snapshotter interface {
	Snapshot(now time.Duration) policy.Snapshot
	Restore(now time.Duration, k policy.Snapshot, age time.Duration)
}

// slowStartShareSetter is a Decider that takes its share of the slow start budgets.
type slowStartShareSetter interface{ SetSlowStartShare(part float64) }

var (
	_ snapshotter          = (*policy.Balancer)(nil)
	_ slowStartShareSetter = (*policy.Balancer)(nil)
)
