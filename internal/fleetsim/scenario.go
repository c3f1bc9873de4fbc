package fleetsim

import (
	"time"

	"yokestall/internal/model"
	"yokestall/policy"
)

// Scenario describes a simulation: the nodes, servers, clients, load and faults.
type Scenario struct {
	Length     time.Duration // period during which requests arrive
	Nodes      int
	Servers    int
	ServerKind model.ServerSpec
	Settings   policy.Settings // NodeCount, NodeIndex and Classes are filled in
	Classes    []Class
	Load       model.Curve // factor by which Class.Rate is multiplied, over time
	Clients    Clients
	Faults     []Fault
	// NetworkDelay is the minimum one-way delay of a message. The delay of each message is random between NetworkDelay
	// and 1.5 times NetworkDelay.
	NetworkDelay time.Duration
	// ListDelay is the time from the beginning or end of a fault until the nodes receive the new endpoint list.
	ListDelay time.Duration
	// FirstNodeShare is the share of the requests that clients send to node 0. The remaining requests are spread evenly
	// over all nodes, including node 0. With 0, all nodes get the same share.
	FirstNodeShare float64
	// LeaseReleaseDuration is the time for which a node releases slow start budget that it leases to other nodes. With
	// 0, there are no leases and all nodes have equal budgets.
	LeaseReleaseDuration time.Duration
}

// Class is a class of requests together with its load.
type Class struct {
	Name string
	policy.Class
	Work   time.Duration // mean work of a request, as the time on a core of speed 1
	Spread model.Spread  // random spread of the work
	Rate   float64       // requests per second where Scenario.Load is 1
}

// Clients describes how clients retry.
type Clients struct {
	Retries int           // maximum number of retries for each request
	Backoff time.Duration // minimum wait before each retry
	// HonorRetryAfter is the share of the retries that wait for Retry-After if this is longer than Backoff. In runs on
	// sockets, it is the share of the requests whose retries do so.
	HonorRetryAfter float64
	// AlignTo delays each retry to the next multiple of AlignTo in virtual time. With 0, retries are not aligned.
	AlignTo time.Duration
}

// Fault is a fault of some servers or nodes. Exactly one of Down, Drain, Nodes, BufferReplies and Impairment is set.
type Fault struct {
	From, To    time.Duration
	First, Last int  // range of affected indexes, inclusive: of nodes if Nodes is set, of servers otherwise
	Down        bool // the servers are down until To and then restart
	Drain       bool // the servers drain until To and are then replaced by new servers
	Nodes       bool // the nodes are killed, and start at To without their learned state
	// RestoreSnapshot makes the nodes restore a snapshot of the state that they had when they were killed.
	RestoreSnapshot bool
	// RestartSpeed is the speed of a server after Down or Drain as a share of Scenario.ServerKind.Speed. With 0, the
	// speed stays as it is.
	RestartSpeed float64
	// BufferReplies delays all replies of the servers until To, while the servers continue to work.
	BufferReplies bool
	// Impairment is the fault that the servers have until To.
	Impairment model.Fault
}
