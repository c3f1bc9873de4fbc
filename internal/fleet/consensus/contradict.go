package consensus

import (
	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

// Version is a configuration version: the settings that all nodes share, and the clusters with their endpoint lists.
// Listeners, keys and paths are each node's own settings and are not compared.
type Version struct {
	Program  *config.Program
	Clusters map[string]*cluster.Config
}

// Kind is a kind of difference between two versions.
type Kind uint8

// The kinds of difference, in the order of the rows of Table.
const (
	ClassIdempotency Kind = iota
	ClassDedupScope
	ClassDedupWindow
	ClassOtherSettings
	ClassAdded
	ClassRemoved
	TenantQuota
	AttemptLimits
	NodeCount
	SlowStartRules
	NonIdempotentRoute
	IdempotentRoute
	EndpointRemoved
	EndpointAdded
	EndpointMoved
	EndpointStarted
	EndpointLocality
	EndpointWeight
	kindCount
)

// TableRow is a row of the table of differences.
type TableRow struct {
	Kind        Kind
	Description string
	Contradicts bool
	Reason      string
}

// DifferenceTable returns, for each kind of difference, whether two versions that differ in it contradict each other, and why.
// docs/agree.md shows the same rows.
func DifferenceTable() []TableRow {
	return []TableRow{
		{ClassIdempotency, "idempotency of a class", true,
			"rule 2: one node repeats a request that, by the other node's version, must not be repeated"},
		{ClassDedupScope, "deduplication scope of a class", true,
			"rule 2: the nodes differ on which endpoints drop a repeated request"},
		{ClassDedupWindow, "deduplication window of a class", true,
			"rule 2: one node repeats a request when, by the other node's version, the repeat comes too late to be dropped"},
		{ClassOtherSettings, "deadline, latency objective, weights or stream limits of a class", false,
			"one node decides each request, and keeps to what its own version promises the client"},
		{ClassAdded, "class added", false, "a node without the class has no route to it"},
		{ClassRemoved, "class removed", false, "one node refuses the class's requests, and the other serves them"},
		{TenantQuota, "tenants or their quotas", false, "the nodes' shares of a quota add up to a rate between both quotas"},
		{AttemptLimits, "attempts, hedging, cancellation or Retry-After", false,
			"the limits apply to each request, and one node handles the whole request"},
		{NodeCount, "number of nodes", true,
			"rule 4: the nodes' budget shares for endpoints in slow start add up to more than the budget"},
		{SlowStartRules, "slow-start rules", true,
			"rule 4: one node sends a load that, by the other node's version, overloads an endpoint in slow start"},
		{NonIdempotentRoute, "routes of a class that is not idempotent, or only by key", true,
			"rule 2: a repeated request reaches endpoints that have not seen its key, or gets a class of another idempotency"},
		{IdempotentRoute, "routes of an idempotent class", false, "its requests may run more than once, on any endpoint"},
		{EndpointRemoved, "endpoint removed, draining or unhealthy", true,
			"rule 3: one node goes on sending to the endpoint after the grace period"},
		{EndpointAdded, "endpoint added or back in use", false,
			"a node whose version does not have the endpoint in use sends nothing to it"},
		{EndpointMoved, "address of an endpoint", true, "rule 3: another process, or none, may be at the old address"},
		{EndpointStarted, "start time of an endpoint", true,
			"rule 4: a node that does not know the later start time sends as if the endpoint were warm"},
		{EndpointLocality, "zone or cell of an endpoint", true,
			"rule 2: the nodes differ on which endpoints share a deduplication scope"},
		{EndpointWeight, "weight, priority or degraded health of an endpoint, or limits of a cluster", false,
			"they affect how the allowed endpoints share the load, not which endpoints are allowed"},
	}
}
