package translate

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"yokestall/internal/cluster"
)

const (
	minConnectTimeout = time.Millisecond
	maxConnectTimeout = time.Hour
)

// ClusterResource has the fields of a cluster.v3.Cluster that the program uses.
type ClusterResource struct {
	Name string
	// EDSServiceName is the resource name of the cluster's endpoints in EDS; "" if the endpoints are static.
	EDSServiceName string
	// StaticAssignment has the endpoints that the cluster resource includes; nil if the endpoints come by EDS.
	StaticAssignment *Assignment
	Limits           cluster.Limits
	// Transport is the protocol that is used to the cluster's endpoints.
	Transport cluster.Transport
	// LocalityWeighted distributes the load over localities by their weights (locality_weighted_lb_config).
	LocalityWeighted bool
}

// cluster translates a cluster resource.
func (o *Options) cluster(c *clusterv3.Cluster) (*ClusterResource, error) {
	if err := rejectFields(c.ProtoReflect(), rejectedInCluster); err != nil {
		return nil, err
	}
	out := &ClusterResource{Name: c.GetName()}
	if err := o.endpointSource(c, out); err != nil {
		return nil, err
	}
	if err := translateLimits(c, &out.Limits); err != nil {
		return nil, err
	}
	var err error
	if out.Transport, err = transport(c); err != nil {
		return nil, err
	}
	out.LocalityWeighted = c.GetCommonLbConfig().GetLocalityWeightedLbConfig() != nil
	return out, nil
}

// endpointSource translates the source of a cluster's endpoints: EDS or a static load assignment.
func (o *Options) endpointSource(c *clusterv3.Cluster, out *ClusterResource) error {
	switch {
	case c.GetClusterType() != nil:
		return errors.New("cluster_type: custom clusters are not supported")
	case c.GetType() == clusterv3.Cluster_EDS:
		eds := c.GetEdsClusterConfig()
		if err := checkConfigSource("eds_cluster_config.eds_config", eds.GetEdsConfig()); err != nil {
			return err
		}
		out.EDSServiceName = cmp.Or(eds.GetServiceName(), c.GetName())
	case c.GetType() == clusterv3.Cluster_STATIC:
		a, err := o.assignment(c.GetLoadAssignment(), c.GetName())
		if err != nil {
			return fmt.Errorf("load_assignment: %w", err)
		}
		out.StaticAssignment = a
	default:
		return fmt.Errorf("type: %v is neither EDS nor STATIC", c.GetType())
	}
	return nil
}

// checkConfigSource returns an error if s refers to another source than the control plane that is followed.
func checkConfigSource(field string, s *corev3.ConfigSource) error {
	if s == nil || s.GetAds() != nil || s.GetSelf() != nil {
		return nil
	}
	return fmt.Errorf("%s: only ads and self are supported", field)
}

// translateLimits translates the connect timeout and the circuit breakers. It uses the circuit breakers of the default
// priority only, because all routes have that priority.
func translateLimits(c *clusterv3.Cluster, b *cluster.Limits) error {
	if d := c.GetConnectTimeout(); d != nil {
		timeout := d.AsDuration()
		if d.CheckValid() != nil || timeout <= 0 || timeout > maxConnectTimeout {
			return fmt.Errorf("connect_timeout: %v is not greater than 0 and at most 1h", timeout)
		}
		b.ConnectTimeout = max(timeout, minConnectTimeout)
	}
	for i, t := range c.GetCircuitBreakers().GetThresholds() {
		if t.GetPriority() != corev3.RoutingPriority_DEFAULT {
			continue
		}
		if t.GetRetryBudget() != nil {
			return fmt.Errorf("circuit_breakers.thresholds %d: retry_budget: "+
				"not supported, since the program has its own retry budget; max_retries is honoured", i+1)
		}
		b.MaxConnections = int(t.GetMaxConnections().GetValue())
		b.MaxRequests = int(t.GetMaxRequests().GetValue())
		if t.GetMaxPendingRequests() != nil && t.GetMaxRequests() != nil {
			b.MaxRequests += int(t.GetMaxPendingRequests().GetValue())
		}
		b.MaxRetries = int(t.GetMaxRetries().GetValue())
	}
	return nil
}

// Build returns the configuration of the cluster with the endpoints of a.
func (c *ClusterResource) Build(a *Assignment) *cluster.Config {
	out := &cluster.Config{
		Name:       c.Name,
		ShrinkTo:   cluster.ShrinkUnspecified,
		Source:     "xds",
		Limits:     c.Limits,
		Transport:  c.Transport,
		AllowEmpty: len(a.Endpoints) == 0,
		Endpoints:  a.Endpoints,
	}
	out.OverprovisioningFactor, out.Drops = a.Overprovision, a.Drops
	if c.LocalityWeighted && len(a.Endpoints) > 0 {
		out.Endpoints = a.localityWeighted()
	}
	return out
}

// localityWeighted returns the endpoints with weights that distribute the load over the localities in proportion to the
// localities' weights, and within a locality in proportion to its endpoints' weights. The mean of the returned weights
// is 1, unless one is cut to cluster.MaxWeight. A locality without a weight gets no load
// (LocalityLbEndpoints.load_balancing_weight).
func (a *Assignment) localityWeighted() []cluster.Endpoint {
	sums := make([]float64, len(a.weights)) // sum of the endpoints' weights, by locality
	for i, e := range a.Endpoints {
		sums[a.locality[i]] += e.Weight
	}
	total := 0.0 // sum of the weights of the localities that have endpoints
	for i := range a.weights {
		if sums[i] > 0 {
			total += a.weights[i]
		}
	}
	endpoints := slices.Clone(a.Endpoints)
	for i := range endpoints {
		e, l := &endpoints[i], a.locality[i]
		if a.weights[l] == 0 {
			e.Health = cluster.Unhealthy
			continue
		}
		e.Weight = min(cluster.MaxWeight, e.Weight/sums[l]*a.weights[l]/total*float64(len(a.Endpoints)))
	}
	return endpoints
}
