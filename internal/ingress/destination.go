package ingress

import (
	"context"
	"net/http"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// Router finds the destination of a request. If it returns an error, the request is not forwarded; a *Rejection is sent
// to the client.
type Router interface {
	Route(r *http.Request) (Destination, error)
}

// Handler decides on a request and returns its final answer. *engine.Cluster implements it.
type Handler interface {
	Do(ctx context.Context, r *engine.Request) (engine.Answer, error)
}

// HeaderEditor changes header fields. The keys of h are canonical names.
type HeaderEditor interface{ Apply(h map[string][]string) }

// Destination is the result of routing a request: the cluster that decides on the request, the request's class in that
// cluster, and the limits of the class and the route.
type Destination struct {
	Cluster     Handler
	Class       int // index of the class in the cluster's settings
	Idempotency policy.Idempotency
	// RepeatIsHarmless says that a client may repeat a request even if it may have run; see policy.Class.
	RepeatIsHarmless bool
	DedupWindow      time.Duration  // for policy.IdempotentByKey: time for which endpoints drop a repeated request
	Deadline         time.Duration  // the class's deadline, or the route's timeout if that is shorter
	Tenants          map[string]int // maps a tenant's name to its index; nil if requests have no tenants
	// TenantsByCertificate maps names in clients' certificates to indices of tenants. If a client's certificate has such
	// a name, the client's requests belong to that tenant, whatever X-Tenant-Id says.
	TenantsByCertificate map[string]int
	MaxRetryAfter        time.Duration // Retry-After of rejections that the cluster does not decide on; 0: none
	MaxAttempts          int           // lowers the cluster's limit for a request's attempts; 0: no change
	PerTryTimeout        time.Duration // limit for one attempt; 0: no limit
	StreamLimits         h1client.StreamLimits
	// RequestEdits and ResponseEdits change the header fields of the forwarded messages; nil: no changes.
	RequestEdits, ResponseEdits HeaderEditor
	// PickEndpoint says that a calling proxy (package extproc) gets an endpoint's address and sends the request itself.
	PickEndpoint bool
}
