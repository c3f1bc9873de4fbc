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
	Why         string
}

// Table returns, for each kind of difference, whether two versions that differ in it contradict each other, and why.
// docs/agree.md shows the same rows.
func Table() []TableRow {
	return []TableRow{
		{ClassIdempotency, "effect of a class", true, "rule 2: one node sends again what the other takes for unsafe"},
		{ClassDedupScope, "scope of a keyed class", true, "rule 2: they differ on which servers drop a repeat"},
		{ClassDedupWindow, "window of a keyed class", true,
			"rule 2: one sends again when the other's servers have forgotten the key"},
		{ClassOtherSettings, "deadline, aim, worth or stream bounds of a class", false,
			"a request is decided by one node, within what its client was promised there"},
		{ClassAdded, "a class more", false, "who does not know it has no route to it"},
		{ClassRemoved, "a class less", false, "requests of it are refused by one node and served by the other"},
		{TenantQuota, "a tenant, or its quota", false, "the sum of the nodes' parts lies between both quotas"},
		{AttemptLimits, "attempts, second copies, cancels, waits", false, "they are counted by request, at one node"},
		{NodeCount, "number of nodes", true, "rule 4: parts of cold servers' budgets add up to more than the whole"},
		{SlowStartRules, "figures of cold servers", true,
			"rule 4: one node sends what the other's figures say pushes a server over"},
		{NonIdempotentRoute, "route of a class that is not safe", true,
			"rule 2: a key goes to servers that have not seen it, or to a class with another effect"},
		{IdempotentRoute, "route of a safe class", false, "what it reaches may run twice"},
		{EndpointRemoved, "a server goes, drains or is not healthy", true, "rule 3: one node sends to it past the grace"},
		{EndpointAdded, "a server comes, or comes back", false, "who does not know it sends nothing there"},
		{EndpointMoved, "address of a server", true, "rule 3: at the old one is another process, or none"},
		{EndpointStarted, "start of a server", true, "rule 4: who does not know of it sends as to a warm one"},
		{EndpointLocality, "zone or cell of a server", true,
			"rule 2: they differ on which servers drop a repeat together"},
		{EndpointWeight, "weight or priority of a server, bounds of a cluster", false,
			"it says how well is chosen, not what may be"},
	}
}
