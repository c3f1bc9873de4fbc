package fleetsim

import (
	"time"

	"yokestall/internal/model"
	"yokestall/policy"
)

// Scenario is what is simulated.
type Scenario struct {
	Length     time.Duration // in which requests arrive
	Nodes      int
	Servers    int
	ServerKind model.ServerSpec
	Settings   policy.Settings // NodeCount, NodeIndex and Classes are filled in
	Classes    []Class
	Load       model.Curve // factor of the classes' rates
	Clients    Clients
	Faults     []Fault
	// NetworkDelay is the least delay of a message, one way; each is drawn from it up to half as long again.
	NetworkDelay time.Duration
	// ListDelay is how long after a fault begins or ends the nodes get the new endpoint list.
	ListDelay time.Duration
	// FirstNodeShare is the share of the requests that goes to node 0, beside its part of the others; 0: no more than to
	// each other node.
	FirstNodeShare float64
	// LeaseReleaseDuration is how long a node does without the slow start budget that it leases to others; 0: there are
	// no leases, and all nodes have equal budgets.
	LeaseReleaseDuration time.Duration
}

// Class is a class of requests with its load.
type Class struct {
	Name string
	policy.Class
	Work   time.Duration // mean, on a core of speed 1
	Spread model.Spread  // of the work
	Rate   float64       // requests per second at a load of 1
}

// Clients is how clients retry.
type Clients struct {
	Retries int           // at most, for each request
	Backoff time.Duration // before each retry
	// HonorRetryAfter is the share of the retries, or on sockets of the requests, that wait for Retry-After where it is
	// longer than Backoff.
	HonorRetryAfter float64
	// AlignTo delays each retry to the next multiple of it; 0: not at all.
	AlignTo time.Duration
}

// Fault is a fault of some servers or nodes. One of Down, Drain, Nodes, BufferReplies and Impairment is set.
type Fault struct {
	From, To    time.Duration
	First, Last int  // indexes of servers or, with Nodes, of nodes
	Down        bool // the servers are down and start anew at To
	Drain       bool // the servers drain, and others replace them at To
	Nodes       bool // the nodes are killed, and start at To without anything that they learnt
	// RestoreSnapshot lets the nodes restore what they had learnt when they were killed.
	RestoreSnapshot bool
	// RestartSpeed is the speed of a server after Down or Drain, as a share of its kind's; 0: its kind's.
	RestartSpeed float64
	// BufferReplies lets the servers work on, and sends all their replies at To.
	BufferReplies bool
	// Impairment is set on the servers until To.
	Impairment model.Fault
}
