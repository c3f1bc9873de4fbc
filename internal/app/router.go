package app

import (
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/ingress"
	"yokestall/internal/route"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// Route implements ingress.Router. The error is an *ingress.Rejection: the request is rejected, or its route has a direct
// response.
func (a *App) Route(r *http.Request) (ingress.Destination, error) {
	s := a.state.Load()
	match, err := s.matchRoute(r)
	if err != nil {
		return ingress.Destination{}, err
	}
	to := s.clusters[match.Cluster]
	if to == nil {
		if _, logged := a.undefinedClusters.LoadOrStore(match.Cluster, true); !logged {
			a.Log.Error("request rejected, cluster not defined", "cluster", match.Cluster, "route", match.Route.Name)
		}
		return ingress.Destination{}, s.unavailable("the route's cluster is not defined")
	}
	class := s.program.Class(match.Route.Class)
	c := &s.program.Classes[class]
	if a.LeaseValid != nil && !a.LeaseValid() {
		return ingress.Destination{}, s.unavailable("the node's lease is over")
	}
	if reason := s.rejectedClasses[c.Name]; reason != "" {
		return ingress.Destination{}, s.unavailable(reason)
	}
	out := s.destination(match.Route, c)
	out.Cluster, out.Class = to, class
	if a.LeaseValid != nil {
		out.Cluster = leaseCheckedCluster{to, a.sendAllowed(s, c.Name), out.MaxRetryAfter}
	}
	return out, nil
}

// matchRoute returns the route of a request and the route's cluster.
func (s *state) matchRoute(r *http.Request) (route.Match, error) {
	if s.program.Table == nil {
		return route.Match{}, s.unavailable("no routes are known yet")
	}
	q := route.Request{Host: r.Host, Path: r.URL.Path, Method: r.Method, Header: r.Header}
	if s.program.Table.NeedsHash() {
		q.Hash = affinityHash(r)
	}
	m, ok := s.program.Table.Lookup(&q)
	if !ok {
		return route.Match{}, &ingress.Rejection{Status: http.StatusNotFound, Message: "no route"}
	}
	if m.Route.DirectResponse != nil {
		return route.Match{}, directResponse(m.Route, r)
	}
	return m, nil
}

// unavailable returns the rejection, with status 503 and Retry-After, of a request that the client may send again later.
func (s *state) unavailable(reason string) *ingress.Rejection {
	return &ingress.Rejection{
		Status: http.StatusServiceUnavailable, Message: reason, RetryAfter: s.program.Limits.MaxRetryAfter,
	}
}

// destination returns the Destination of a request that has this route and class, without the fields Cluster and Class,
// which the caller sets.
func (s *state) destination(r *route.Route, c *config.Class) ingress.Destination {
	out := ingress.Destination{
		Idempotency: c.Idempotency, RepeatIsHarmless: c.RepeatIsHarmless(), DedupWindow: c.DedupWindow,
		Deadline: requestDeadline(r, c),
		Tenants:  s.tenants.byName, MaxRetryAfter: s.program.Limits.MaxRetryAfter,
		StreamLimits: h1client.StreamLimits{StallTimeout: c.Progress, MaxDuration: c.Stream, DrainTimeout: c.Drain},
		MaxAttempts:  r.MaxAttempts, PerTryTimeout: r.PerTryTimeout, TenantsByCertificate: s.tenants.byCertificate,
		PickEndpoint: r.Processor == route.ProcessorPick || r.Processor == "" && s.program.ExtProc.Pick,
	}
	if e := r.RequestEdits; e != nil {
		out.RequestEdits = e
	}
	if e := r.ResponseEdits; e != nil {
		out.ResponseEdits = e
	}
	return out
}

// requestDeadline returns the deadline of the class, or the timeout of the route if it is set and shorter.
func requestDeadline(r *route.Route, c *config.Class) time.Duration {
	if r.Timeout > 0 {
		return min(c.Deadline, r.Timeout)
	}
	return c.Deadline
}

// dedupRouter returns the router of the HTTP servers. It deduplicates requests by idempotency key if the program's
// settings enable deduplication.
func (a *App) dedupRouter() ingress.Router {
	if a.dedup == nil {
		return a
	}
	return dedupRouter{a}
}

// dedupRouter routes the requests of classes that are idempotent by key through the deduplicator of an App.
type dedupRouter struct{ *App }

// Route implements ingress.Router.
func (r dedupRouter) Route(q *http.Request) (ingress.Destination, error) {
	to, err := r.App.Route(q)
	if err == nil && to.Idempotency == policy.IdempotentByKey {
		to.Cluster = r.dedup.WrapCluster(to.Cluster, to.DedupWindow, to.MaxRetryAfter)
	}
	return to, err
}

// directResponse returns the direct response or redirect of a route.
func directResponse(r *route.Route, request *http.Request) *ingress.Rejection {
	response := r.DirectResponse
	out := &ingress.Rejection{Status: response.Status, Message: response.Body}
	if response.Redirect {
		scheme := "http"
		if request.TLS != nil {
			scheme = "https"
		}
		out.Location = response.Location(r, scheme, request.Host, request.URL.EscapedPath(), request.URL.RawQuery)
	}
	return out
}

// affinityHash returns the hash that selects one of the weighted clusters of a route. A client's retry must go to the same
// cluster as the first request, so the idempotency key, which a retry keeps, takes precedence over the request's id.
func affinityHash(r *http.Request) uint64 {
	h := fnv.New64a()
	for _, name := range []string{"Idempotency-Key", "X-Request-Id"} {
		if v := r.Header[name]; len(v) > 0 {
			io.WriteString(h, v[0])
			return h.Sum64()
		}
	}
	io.WriteString(h, r.RemoteAddr)
	io.WriteString(h, r.URL.RequestURI())
	return h.Sum64()
}
