package cluster

import (
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
)

const (
	// maxProblems bounds the problems of endpoints that Check returns at a time.
	maxProblems = 20
	// maxHostBytes is the longest host name in text: 255 bytes on the wire (RFC 1035, section 2.3.4).
	maxHostBytes = 253
	maxPort      = 65535
)

// clusterFields is the index that a Locator gets for the cluster's own fields.
const clusterFields = -1

// Locator returns the line of a field of the endpoint with an index, the line of the endpoint itself where the field
// is "", and the line of the cluster's own field for an index below 0. Lines count from 1; 0 is unknown.
type Locator func(index int, field string) int

// Check validates a cluster and sorts its endpoints by id. It returns a Problem for each fault, joined. at may be nil.
func (c *Config) Check(at Locator) error {
	v := &validator{
		config: c, locate: at,
		firstWithID: map[string]int{}, firstWithAddress: map[string]int{},
	}
	v.checkSize()
	if len(c.Endpoints) > MaxEndpoints {
		return errors.Join(v.problems...)
	}
	for i := range c.Endpoints {
		if len(v.problems) >= maxProblems {
			break
		}
		v.checkEndpoint(i)
	}
	v.checkDrops()
	if len(v.problems) > 0 {
		return errors.Join(v.problems...)
	}
	slices.SortFunc(c.Endpoints, compareIDs)
	return nil
}

// validator collects the problems of a cluster.
type validator struct {
	config   *Config
	locate   Locator // may be nil
	problems []error

	// The index of the first endpoint with an id, and with an address.
	firstWithID, firstWithAddress map[string]int
}

// report adds a problem of the endpoint with an index, or of the cluster for clusterFields.
func (v *validator) report(index int, field, format string, args ...any) {
	p := &Problem{Source: v.config.Source, Field: field, Text: fmt.Sprintf(format, args...)}
	if v.locate != nil {
		p.Line = v.locate(index, field)
	}
	if index >= 0 {
		p.Field = fmt.Sprintf("endpoint %d", index+1)
		if id := v.config.Endpoints[index].ID; id != "" && len(id) <= MaxNameBytes {
			p.Field += fmt.Sprintf(" (%s)", id)
		}
		if field != "" {
			p.Field += ": " + field
		}
	}
	v.problems = append(v.problems, p)
}

// checkSize checks the cluster's name, and whether it has as many endpoints as it says.
func (v *validator) checkSize() {
	c := v.config
	if err := checkName(c.Name); err != nil {
		v.report(clusterFields, "name", "%v", err)
	}
	switch n := len(c.Endpoints); {
	case n > MaxEndpoints:
		v.report(clusterFields, "", "%d endpoints; %d at most", n, MaxEndpoints)
		return
	case n == 0 && !c.AllowEmpty:
		v.report(clusterFields, "",
			"names no servers; if that is meant, say no_servers = \"on purpose\" in [cluster]")
	case n > 0 && c.AllowEmpty:
		v.report(clusterFields, "no_servers", "%d servers are named all the same", n)
	}
	if c.ShrinkTo >= 0 && c.ShrinkTo != len(c.Endpoints) {
		v.report(clusterFields, "shrink_to", "says %d servers, %d are named", c.ShrinkTo, len(c.Endpoints))
	}
}

// checkEndpoint checks the endpoint with an index.
func (v *validator) checkEndpoint(index int) {
	e := &v.config.Endpoints[index]
	if err := checkName(e.ID); err != nil {
		v.report(index, "id", "%v", err)
	} else if first, duplicate := v.firstWithID[e.ID]; duplicate {
		v.report(index, "id", "is endpoint %d's too", first+1)
	} else {
		v.firstWithID[e.ID] = index
	}
	if err := checkAddress(e.Address); err != nil {
		v.report(index, "address", "%v", err)
	} else if first, duplicate := v.firstWithAddress[e.Address]; duplicate {
		v.report(index, "address", "%s is endpoint %d's too", e.Address, first+1)
	} else {
		v.firstWithAddress[e.Address] = index
	}
	if math.IsNaN(e.Weight) || e.Weight < 0 || e.Weight > MaxWeight {
		v.report(index, "weight", "%v is not from 0 to %g", e.Weight, MaxWeight)
	}
	if e.Cell < 0 {
		v.report(index, "cell", "%d is negative", e.Cell)
	}
	if len(e.Zone) > MaxNameBytes {
		v.report(index, "zone", "is longer than %d bytes", MaxNameBytes)
	}
	if e.Priority < 0 || e.Priority > MaxPriority {
		v.report(index, "priority", "%d is not from 0 to %d", e.Priority, MaxPriority)
	}
	if e.StartedMs < 0 {
		v.report(index, "started_ms", "%d is negative", e.StartedMs)
	}
}

// checkDrops checks the categories of requests that are rejected.
func (v *validator) checkDrops() {
	drops := v.config.Drops
	for i, d := range drops {
		if i >= MaxDrops {
			v.report(clusterFields, "drops", "%d categories; %d at most", len(drops), MaxDrops)
			return
		}
		if math.IsNaN(d.Fraction) || d.Fraction < 0 || d.Fraction > 1 {
			v.report(clusterFields, "drops", "%s: %v is not from 0 to 1", d.Category, d.Fraction)
		}
	}
}

// checkName checks the name of a cluster or the id of an endpoint.
func checkName(name string) error {
	switch {
	case name == "":
		return errors.New("is missing")
	case len(name) > MaxNameBytes:
		return fmt.Errorf("is longer than %d bytes", MaxNameBytes)
	}
	for _, r := range name {
		if r <= ' ' || r == '\x7f' || r == '\ufffd' { // spaces, control characters, and what is not UTF-8
			return fmt.Errorf("%q has a character that a name may not have", name)
		}
	}
	return nil
}

// checkAddress checks a host:port.
func checkAddress(address string) error {
	if address == "" {
		return errors.New("is missing")
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is no host:port", address)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > maxPort {
		return fmt.Errorf("%q: the port is not from 1 to %d", address, maxPort)
	}
	if host == "" || len(host) > maxHostBytes || strings.ContainsAny(host, " \t/%") {
		return fmt.Errorf("%q has no host that can be called", address)
	}
	return nil
}
