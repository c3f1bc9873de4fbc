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
	Endpoints int           // 3 or more
	Clients   int           // that send requests at the same time, 1 or more
	Phase     time.Duration // length of each of the five phases
	// LatenessTolerance is how late a client of the demo may measure an answer that came in time: the clients share the
	// machine with all else. 0: 50 ms.
	LatenessTolerance time.Duration
	// KeepServing leaves the program running without load until the context ends.
	KeepServing bool
	// XDS has clusters, endpoints and routes come from a control plane that the demo starts, as the example set in xDS
	// form has them, instead of the program's files.
	XDS bool
	// TLS has the clients use HTTP/2 over TLS, with keys that the demo makes and replaces while it runs.
	TLS bool
	// ExtProc has the clients send to a proxy that the demo starts, which asks the program about each request: bookings
	// and payments are forwarded by the program, reads by the proxy.
	ExtProc bool
}

// Result counts a run's final answers and what the endpoints saw.
type Result struct {
	Requests, Served, Rejected, Failed, Late int64
	Deliveries                               int      // attempts that reached an endpoint
	Repeats                                  int      // of those, second and later ones of the same request
	Violations                               []string // of the rules
}
