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
	// maxProblems is the number of problems after which Check validates no further endpoint.
	maxProblems = 20
	// maxHostBytes is the length in text of the longest host name, which has 255 bytes on the wire (RFC 1035, section
	// 2.3.4).
	maxHostBytes = 253
	maxPort      = 65535
)

// clusterFields is the endpoint index that a Locator gets for a field of the cluster itself.
const clusterFields = -1

// Locator returns the line of a field of the endpoint with the given index, or the line of the endpoint itself if field is
// "". For an index below 0, it returns the line of a field of the cluster. Lines count from 1; 0 is unknown.
type Locator func(index int, field string) int

// Check validates a cluster and, if it is valid, sorts its endpoints by id. It returns the joined *Problems of the faults;
// after maxProblems, it validates no further endpoint. locate may be nil.
func (c *Config) Check(locate Locator) error {
	v := &validator{
		config: c, locate: locate,
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

	// firstWithID and firstWithAddress map an id and an address to the index of the first endpoint that has it.
	firstWithID, firstWithAddress map[string]int
}

// report adds a problem of the endpoint with the given index, or of the cluster if index is clusterFields.
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

// checkSize checks the cluster's name and its number of endpoints, also against AllowEmpty and ShrinkTo.
func (v *validator) checkSize() {
	c := v.config
	if err := checkName(c.Name); err != nil {
		v.report(clusterFields, "name", "%v", err)
	}
	switch n := len(c.Endpoints); {
	case n > MaxEndpoints:
		v.report(clusterFields, "", "the cluster has %d endpoints, at most %d are allowed", n, MaxEndpoints)
		return
	case n == 0 && !c.AllowEmpty:
		v.report(clusterFields, "",
			"names no servers; if that is meant, say no_servers = \"on purpose\" in [cluster]")
	case n > 0 && c.AllowEmpty:
		v.report(clusterFields, "no_servers", "%d servers are named though the cluster is to have none", n)
	}
	if c.ShrinkTo >= 0 && c.ShrinkTo != len(c.Endpoints) {
		v.report(clusterFields, "shrink_to", "says %d servers, %d are named", c.ShrinkTo, len(c.Endpoints))
	}
}

// checkEndpoint checks the endpoint with the given index.
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

// checkDrops checks the cluster's drop categories.
func (v *validator) checkDrops() {
	drops := v.config.Drops
	for i, d := range drops {
		if i >= MaxDrops {
			v.report(clusterFields, "drops", "%d categories, at most %d are allowed", len(drops), MaxDrops)
			return
		}
		if math.IsNaN(d.Fraction) || d.Fraction < 0 || d.Fraction > 1 {
			v.report(clusterFields, "drops", "category %s: the fraction %v is not from 0 to 1", d.Category, d.Fraction)
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
		if r <= ' ' || r == '\x7f' || r == '\ufffd' { // space, control characters or invalid UTF-8
			return fmt.Errorf("%q has a space, a control character or invalid UTF-8, which a name may not have", name)
		}
	}
	return nil
}

// checkAddress checks that an address is host:port with a possible host and port.
func checkAddress(address string) error {
	if address == "" {
		return errors.New("is missing")
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is not of the form host:port", address)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > maxPort {
		return fmt.Errorf("%q: the port is not from 1 to %d", address, maxPort)
	}
	if host == "" || len(host) > maxHostBytes || strings.ContainsAny(host, " \t/%") {
		return fmt.Errorf("%q has no host or an invalid host", address)
	}
	return nil
}
