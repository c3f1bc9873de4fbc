package node

import (
	"net/http"
	"strings"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// router sends all requests to a single cluster. The first segment of a request's path is the name of its class.
type router struct {
	cfg     *Config
	cluster *engine.Cluster
}

// Route implements ingress.Router. For an unknown class it returns an *ingress.Rejection with status 404.
func (r router) Route(req *http.Request) (ingress.Destination, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	index, known := r.cfg.Classes[name]
	if !known {
		return ingress.Destination{}, &ingress.Rejection{Status: http.StatusNotFound, Message: "unknown class"}
	}
	class := &r.cfg.Policy.Classes[index]
	return ingress.Destination{
		Cluster: r.cluster, Class: index, Idempotency: class.Idempotency, RepeatIsHarmless: class.RepeatIsHarmless(),
		Deadline: class.Deadline,
		Tenants:  r.cfg.Tenants, MaxRetryAfter: r.cfg.Policy.Limits.MaxRetryAfter,
		StreamLimits: h1client.StreamLimits{StallTimeout: streamStallTimeout},
	}, nil
}

var _ ingress.Router = router{}
