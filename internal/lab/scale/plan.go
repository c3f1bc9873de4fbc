package scale

import (
	"time"

	"yokestall/internal/fleet/lease"
)

// Plan is a run of hollow nodes. Parse reads it from its file.
type Plan struct {
	Name, Description string
	Seed              uint64
	Timeout           time.Duration // of the run over all sizes
	Sizes             []int         // hollow nodes, ascending: all steps are run at each size
	NodesPerProcess   int           // the most hollow nodes that share a process
	Voters            int           // each has a process of its own
	ServeProcesses    int           // complete nodes that don't vote, each with a process of its own
	Regions           int           // over which voters, serve processes and hollow nodes are spread in turn
	Zones             int           // likewise
	TLS               bool
	Lease             lease.Config
	Content           Content
	Steps             []Step
}

// Content is the size of the configuration that the voters replicate to all nodes.
type Content struct {
	Clusters int `toml:"clusters" json:"clusters"`
	Servers  int `toml:"servers" json:"servers"` // over all clusters
	Routes   int `toml:"routes" json:"routes"`
	Tenants  int `toml:"tenants" json:"tenants"`
}

// Kind is what happens in a step.
type Kind string

// The kinds of steps.
const (
	KindIdle       Kind = "idle"     // nothing changes
	KindSettings   Kind = "settings" // versions with other settings are published one after the other
	KindList       Kind = "list"     // delta updates of one cluster are published likewise
	KindRestart    Kind = "restart"  // a fraction of the hollow nodes, or all of a zone, are restarted at once
	KindPartition  Kind = "apart"    // a partition between the regions begins
	KindHeal       Kind = "together" // it ends
	KindRestartAll Kind = "return"   // all hollow nodes are stopped, and then started at once
)

var kinds = []Kind{KindIdle, KindSettings, KindList, KindRestart, KindPartition, KindHeal, KindRestartAll}

// Step is a part of a run with figures of its own.
type Step struct {
	Name        string // part of its figures' keys; by default the kind
	Kind        Kind
	Duration    time.Duration // of idle and partition
	Count       int           // of settings and list: versions
	Contradicts bool          // of settings: each version contradicts the one before
	Fraction    float64       // of restart: the part of the hollow nodes, to 1
	Zone        int           // of restart: in place of Fraction the zone whose nodes are restarted, from 0; -1: none
	EmptyStores bool          // of restart and restart all: the nodes' stores are removed before their start
	Timeout     time.Duration // until all nodes act on the last version
}

// Bounds of a plan.
const (
	MaxNodes     = 4000 // hollow nodes of a size
	MaxProcesses = 300  // of a size
	maxSteps     = 64
	maxSizes     = 16
	maxChanges   = 1000 // of a step
)
