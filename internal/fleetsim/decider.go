package fleetsim

import (
	"time"

	"yokestall/policy"
)

// Decider makes the decisions of a node, through its policy.Host. *policy.Balancer implements Decider.
type Decider interface {
	Request(now time.Duration, q policy.Request)
	Outcome(now time.Duration, o policy.Outcome)
	ClientDisconnected(now time.Duration, id policy.RequestID)
	Timer(now time.Duration, token uint64)
	UpdateEndpoints(now time.Duration, kind policy.UpdateKind, entries []policy.Endpoint)
}

// DeciderFactory creates the decider of a node that starts. It fails if the settings are invalid.
type DeciderFactory func(set policy.Settings, seed uint64, host policy.Host) (Decider, error)

// NewBalancer is the DeciderFactory of policy.Balancer.
func NewBalancer(set policy.Settings, seed uint64, host policy.Host) (Decider, error) {
	return policy.New(set, seed, host)
}

// snapshotter is a Decider whose state can be restored after a restart.
type snapshotter interface {
	Snapshot(now time.Duration) policy.Snapshot
	Restore(now time.Duration, k policy.Snapshot, age time.Duration)
}

// slowStartShareSetter is a Decider whose share of the slow start budgets can be set.
type slowStartShareSetter interface{ SetSlowStartShare(part float64) }

var (
	_ snapshotter          = (*policy.Balancer)(nil)
	_ slowStartShareSetter = (*policy.Balancer)(nil)
)
