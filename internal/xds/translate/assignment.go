package translate

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"

	"yokestall/internal/cluster"
)

// The allowed range of policy.overprovisioning_factor, in percent.
const (
	minOverprovisionPercent = 100
	maxOverprovisionPercent = 100000
)

// Assignment has the fields of an endpoint.v3.ClusterLoadAssignment that the program uses.
type Assignment struct {
	Name          string
	Endpoints     []cluster.Endpoint // sorted by id
	Overprovision float64            // a factor, 1 or more; 0 if none is given
	Drops         []cluster.Drop
	// StartStated says for each endpoint whether the control plane states its start time; otherwise it is inferred.
	StartStated []bool

	locality []int32   // the locality of each endpoint, an index into weights
	weights  []float64 // the weight of each locality; 0 if none is given
}

// endpointRow is an endpoint, and the elements that Assignment stores in separate slices for it.
type endpointRow struct {
	cluster.Endpoint
	locality    int32
	startStated bool
}

// assignment translates a load assignment. defaultName is used if the load assignment has no name.
func (o *Options) assignment(a *endpointv3.ClusterLoadAssignment, defaultName string) (*Assignment, error) {
	if err := rejectFields(a.ProtoReflect(), rejectedInAssignment); err != nil {
		return nil, err
	}
	out := &Assignment{Name: cmp.Or(a.GetClusterName(), defaultName)}
	if err := assignmentPolicy(a.GetPolicy(), out); err != nil {
		return nil, err
	}
	var rows []endpointRow
	for i, l := range a.GetEndpoints() {
		var err error
		if rows, err = locality(rows, l, i); err != nil {
			return nil, err
		}
		out.weights = append(out.weights, float64(l.GetLoadBalancingWeight().GetValue()))
	}
	out.setEndpoints(rows)
	check := cluster.Config{
		Name: out.Name, Endpoints: out.Endpoints, AllowEmpty: len(rows) == 0, ShrinkTo: cluster.ShrinkUnspecified,
		Limits: cluster.Limits{Drops: out.Drops},
	}
	return out, check.Check(nil)
}

// setEndpoints sorts rows by id, and sets the slices that have an element for each endpoint.
func (a *Assignment) setEndpoints(rows []endpointRow) {
	slices.SortFunc(rows, func(x, y endpointRow) int { return cmp.Compare(x.ID, y.ID) })
	a.Endpoints = make([]cluster.Endpoint, len(rows))
	a.locality = make([]int32, len(rows))
	a.StartStated = make([]bool, len(rows))
	for i, r := range rows {
		a.Endpoints[i], a.locality[i], a.StartStated[i] = r.Endpoint, r.locality, r.startStated
	}
}

// assignmentPolicy translates the overprovisioning factor and the drops of a load assignment's policy.
func assignmentPolicy(p *endpointv3.ClusterLoadAssignment_Policy, out *Assignment) error {
	if f := p.GetOverprovisioningFactor(); f != nil {
		if f.GetValue() < minOverprovisionPercent || f.GetValue() > maxOverprovisionPercent {
			return fmt.Errorf("policy.overprovisioning_factor: %d is not from %d to %d",
				f.GetValue(), minOverprovisionPercent, maxOverprovisionPercent)
		}
		out.Overprovision = float64(f.GetValue()) / 100
	}
	for i, d := range p.GetDropOverloads() {
		share, err := fraction(d.GetDropPercentage())
		if err != nil {
			return fmt.Errorf("policy.drop_overloads %d (%.64s): %w", i+1, d.GetCategory(), err)
		}
		out.Drops = append(out.Drops, cluster.Drop{Category: d.GetCategory(), Fraction: share})
	}
	return nil
}

// fraction converts a type.v3.FractionalPercent to a number from 0 to 1. Larger values become 1.
func fraction(p *typev3.FractionalPercent) (float64, error) {
	denominator := 0.0
	switch p.GetDenominator() {
	case typev3.FractionalPercent_HUNDRED:
		denominator = 100
	case typev3.FractionalPercent_TEN_THOUSAND:
		denominator = 1e4
	case typev3.FractionalPercent_MILLION:
		denominator = 1e6
	default:
		return 0, fmt.Errorf("denominator %d is unknown", p.GetDenominator())
	}
	return min(1, float64(p.GetNumerator())/denominator), nil
}

// locality translates the endpoints of a locality and appends them to rows. index is the position of the locality in the
// load assignment, from 0.
func locality(rows []endpointRow, l *endpointv3.LocalityLbEndpoints, index int) ([]endpointRow, error) {
	zone := zoneName(l.GetLocality())
	withPosition := func(err error) error { return fmt.Errorf("endpoints %d (%s): %w", index+1, zone, err) }
	if err := rejectFields(l.ProtoReflect(), rejectedInLocality); err != nil {
		return nil, withPosition(err)
	}
	if l.GetPriority() > cluster.MaxPriority {
		return nil, withPosition(fmt.Errorf("priority: %d is not from 0 to %d", l.GetPriority(), cluster.MaxPriority))
	}
	for j, e := range l.GetLbEndpoints() {
		row, err := endpoint(e)
		if err != nil {
			return nil, withPosition(fmt.Errorf("lb_endpoints %d: %w", j+1, err))
		}
		row.Zone, row.Priority, row.locality = zone, int(l.GetPriority()), int32(index)
		if rows = append(rows, row); len(rows) > cluster.MaxEndpoints {
			return nil, fmt.Errorf("the load assignment has more than %d endpoints", cluster.MaxEndpoints)
		}
	}
	return rows, nil
}

// zoneName returns the name of a locality: "region/zone" if it has both, otherwise the one that it has.
func zoneName(l *corev3.Locality) string {
	if l.GetRegion() == "" || l.GetZone() == "" {
		return cmp.Or(l.GetZone(), l.GetRegion())
	}
	return l.GetRegion() + "/" + l.GetZone()
}

// endpoint translates an endpoint, except for the fields that its locality determines.
func endpoint(e *endpointv3.LbEndpoint) (row endpointRow, err error) {
	if err := rejectFields(e.ProtoReflect(), rejectedInEndpoint); err != nil {
		return row, err
	}
	if row.Address, err = address(e.GetEndpoint().GetAddress().GetSocketAddress()); err != nil {
		return row, err
	}
	if row.Health, err = health(e.GetHealthStatus()); err != nil {
		return row, err
	}
	row.Weight = 1
	if w := e.GetLoadBalancingWeight(); w != nil {
		if row.Weight = float64(w.GetValue()); w.GetValue() == 0 {
			return row, errors.New("load_balancing_weight: 0 is less than 1")
		}
	}
	return row, endpointMetadata(e.GetMetadata(), &row)
}

// address returns a socket address in the form host:port.
func address(a *corev3.SocketAddress) (string, error) {
	switch {
	case a == nil:
		return "", errors.New("endpoint.address: only socket_address is supported")
	case a.GetProtocol() != corev3.SocketAddress_TCP:
		return "", errors.New("endpoint.address: only TCP is supported")
	case a.GetNamedPort() != "" || a.GetResolverName() != "":
		return "", errors.New("endpoint.address: named ports and resolvers are not supported")
	case net.ParseIP(a.GetAddress()) == nil:
		return "", fmt.Errorf("endpoint.address: %.64q is not an IP address", a.GetAddress())
	}
	return net.JoinHostPort(a.GetAddress(), strconv.Itoa(int(a.GetPortValue()))), nil
}

// health translates a health status.
func health(status corev3.HealthStatus) (cluster.Health, error) {
	switch status {
	case corev3.HealthStatus_UNKNOWN, corev3.HealthStatus_HEALTHY:
		return cluster.Healthy, nil
	case corev3.HealthStatus_DEGRADED:
		return cluster.Degraded, nil
	case corev3.HealthStatus_DRAINING:
		return cluster.Draining, nil
	case corev3.HealthStatus_UNHEALTHY, corev3.HealthStatus_TIMEOUT:
		return cluster.Unhealthy, nil
	}
	return 0, fmt.Errorf("health_status: %d is unknown", status)
}

// endpointMetadata sets the id, cell and start time of an endpoint from its metadata. The address is the id if the
// metadata has none.
func endpointMetadata(m *corev3.Metadata, row *endpointRow) error {
	own, err := ownMetadata(m, "id", "cell", "started_ms")
	if err != nil {
		return err
	}
	row.ID = row.Address
	if v, ok := own["id"]; ok {
		if row.ID = v.GetStringValue(); row.ID == "" {
			return errors.New("metadata yokestall: id: not a string, or empty")
		}
	}
	cell, _, err := integerField(own, "cell")
	if err != nil {
		return err
	}
	row.Cell = int(cell)
	row.StartedMs, row.startStated, err = integerField(own, "started_ms")
	return err
}
