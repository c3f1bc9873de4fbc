package consensus

import (
	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

// Version is a configuration version: the program's file without listeners, keys and paths, which each node has of
// its own, and the lists of servers.
type Version struct {
	Program  *config.Program
	Clusters map[string]*cluster.Config
}

// Kind is a kind of difference between two versions.
type Kind uint8

// The kinds, in the order of the table.
const (
	ClassEffect Kind = iota
	ClassScope
	ClassWindow
	ClassService
	ClassAdded
	ClassRemoved
	TenantQuota
	Attempts
	Nodes
	SlowStartRules
	UnsafeRoute
	SafeRoute
	ServerRemoved
	ServerAdded
	ServerMoved
	ServerStarted
	ServerGroup
	ServerSize
	kinds
)

// Row is a row of the table of differences.
type Row struct {
	Kind        Kind
	What        string
	Contradicts bool
	Why         string
}

// Table says for each kind of difference whether it contradicts, and why. docs/agree.md shows it.
func Table() []Row {
	return []Row{
		{ClassEffect, "effect of a class", true, "rule 2: one node sends again what the other takes for unsafe"},
		{ClassScope, "scope of a keyed class", true, "rule 2: they differ on which servers drop a repeat"},
		{ClassWindow, "window of a keyed class", true,
			"rule 2: one sends again when the other's servers have forgotten the key"},
		{ClassService, "deadline, aim, worth or stream bounds of a class", false,
			"a request is decided by one node, within what its client was promised there"},
		{ClassAdded, "a class more", false, "who does not know it has no route to it"},
		{ClassRemoved, "a class less", false, "requests of it are refused by one node and served by the other"},
		{TenantQuota, "a tenant, or its quota", false, "the sum of the nodes' parts lies between both quotas"},
		{Attempts, "attempts, second copies, cancels, waits", false, "they are counted by request, at one node"},
		{Nodes, "number of nodes", true, "rule 4: parts of cold servers' budgets add up to more than the whole"},
		{SlowStartRules, "figures of cold servers", true,
			"rule 4: one node sends what the other's figures say pushes a server over"},
		{UnsafeRoute, "route of a class that is not safe", true,
			"rule 2: a key goes to servers that have not seen it, or to a class with another effect"},
		{SafeRoute, "route of a safe class", false, "what it reaches may run twice"},
		{ServerRemoved, "a server goes, drains or is not healthy", true, "rule 3: one node sends to it past the grace"},
		{ServerAdded, "a server comes, or comes back", false, "who does not know it sends nothing there"},
		{ServerMoved, "address of a server", true, "rule 3: at the old one is another process, or none"},
		{ServerStarted, "start of a server", true, "rule 4: who does not know of it sends as to a warm one"},
		{ServerGroup, "zone or cell of a server", true,
			"rule 2: they differ on which servers drop a repeat together"},
		{ServerSize, "weight or priority of a server, bounds of a cluster", false,
			"it says how well is chosen, not what may be"},
	}
}
