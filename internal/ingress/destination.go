package ingress

import (
	"context"
	"net/http"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// Router finds the destination of a request. An error ends the request: a *Rejection is sent as it says.
type Router interface {
	Route(r *http.Request) (Destination, error)
}

// Handler decides on a request and returns its one answer; *engine.Cluster is one.
type Handler interface {
	Do(ctx context.Context, r *engine.Request) (engine.Answer, error)
}

// HeaderEditor changes header fields; names are canonical.
type HeaderEditor interface{ Apply(h map[string][]string) }

// Destination is what a Router finds for a request: the cluster that decides on it, the class that it has there, and
// the limits of the two.
type Destination struct {
	Cluster     Handler
	Class       int // as in the cluster's settings
	Idempotency policy.Idempotency
	DedupWindow time.Duration  // for policy.IdempotentByKey: how long endpoints drop a repeated request
	Deadline    time.Duration  // the longest that a client of the class waits
	Tenants     map[string]int // name to index; nil if requests have none
	// TenantsByCertificate are tenants by names in clients' certificates. A client that shows such a name is that
	// tenant, whatever X-Tenant-Id says.
	TenantsByCertificate map[string]int
	MaxRetryAfter        time.Duration // Retry-After of rejections that are not the cluster's; 0: none
	MaxAttempts          int           // lowers the cluster's limit; 0: that one holds
	PerTryTimeout        time.Duration // of one attempt; 0: none
	StreamLimits         h1client.StreamLimits
	// RequestEdits and ResponseEdits change the header fields of the forwarded messages; nil: they stay.
	RequestEdits, ResponseEdits HeaderEditor
	// PickEndpoint makes a calling proxy send the request itself, to the endpoint that it is given.
	PickEndpoint bool
}
