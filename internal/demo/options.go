package demo

import (
	"io"
	"log/slog"
	"time"
)

// Options are the options of Run.
type Options struct {
	Out       io.Writer
	Log       *slog.Logger
	Endpoints int           // number of endpoints, at least 3
	Clients   int           // number of clients that send requests concurrently, at least 1
	Phase     time.Duration // length of each of the five phases
	// LatenessTolerance is the time by which a client may measure an answer after its timeout without the answer counting
	// as late. It is needed because the clients share the machine with the rest of the demo. 0 means 50 ms.
	LatenessTolerance time.Duration
	// KeepServing leaves the load balancer running, without load, after the phases until the context ends.
	KeepServing bool
	// XDS makes the load balancer get clusters, endpoints and routes from a control plane that the demo starts, instead of
	// from files. The control plane sends the example xDS resources.
	XDS bool
	// TLS makes the clients use HTTP/2 over TLS. The demo creates the keys and replaces them during the run.
	TLS bool
	// ExtProc makes the clients send requests to a proxy that the demo starts. The proxy asks the external processor of
	// the load balancer about each request. The load balancer forwards bookings and payments, and the proxy forwards reads.
	ExtProc bool
}

// Result has the counts of the final answers of a run and of the requests that the endpoints received.
type Result struct {
	Requests, Served, Rejected, Failed, Late int64
	Deliveries                               int      // number of attempts that reached an endpoint
	Repeats                                  int      // number of these that were not the first of their request
	Violations                               []string // violated rules
}
