// Package scale plays a fleet of hollow nodes (the real control code without its workload) beside real voters and
// measures what control costs: messages, bytes, memory and processor time, and their slopes over the number of nodes.
package scale

import (
	"time"

	"yokestall/internal/fleet/lease"
)

// Plan is a run of hollow nodes, as its file says.
type Plan struct {
	Name, Description string
	Seed              uint64
	Timeout           time.Duration // the whole run takes no longer
	Sizes             []int         // hollow nodes: the steps are played at each size, one after the other
	NodesPerProcess   int           // hollow nodes that share a process
	Voters            int           // each a process of its own, as are the following
	ServeProcesses    int           // that follow, with everything that a node has
	Regions           int           // over which all processes and nodes are spread in turn
	Zones             int           // likewise
	TLS               bool
	Lease             lease.Config
	Content           Content
	Steps             []Step
}

// Content is the size of the configuration that the fleet agrees on.
type Content struct {
	Clusters int `toml:"clusters" json:"clusters"`
	Servers  int `toml:"servers" json:"servers"` // over all clusters
	Routes   int `toml:"routes" json:"routes"`
	Tenants  int `toml:"tenants" json:"tenants"`
}

// Kind is a kind of step.
type Kind string

// The kinds of steps.
const (
	KindIdle       Kind = "idle"     // nothing changes
	KindSettings   Kind = "settings" // versions that differ in their settings are published, one after the other
	KindList       Kind = "list"     // changes of one cluster's list
	KindRestart    Kind = "restart"  // a share of the hollow nodes, or those of a zone, are restarted at once
	KindPartition  Kind = "apart"    // the regions hear nothing of each other from now on
	KindHeal       Kind = "together" // they do again
	KindRestartAll Kind = "return"   // all hollow nodes are stopped, and come back at once
)

var kinds = []Kind{KindIdle, KindSettings, KindList, KindRestart, KindPartition, KindHeal, KindRestartAll}

// Step is a part of a run that is measured by itself.
type Step struct {
	Name        string // the kind unless the file says otherwise
	Kind        Kind
	Duration    time.Duration // idle, apart: how long it lasts
	Count       int           // settings, list: changes
	Contradicts bool          // settings: each version contradicts the one before
	Fraction    float64       // restart: of the hollow nodes
	Zone        int           // restart: the nodes of this zone, from 0, in place of a share; -1: none
	EmptyStores bool          // restart, return: on emptied stores
	Timeout     time.Duration // the longest until all nodes act on what they should
}

// Bounds of a plan.
const (
	MaxNodes     = 4000
	MaxProcesses = 300
	maxSteps     = 64
	maxSizes     = 16
	maxChanges   = 1000
)
