package scale

import (
	"time"

	"yokestall/internal/fleet/lease"
)

// Plan describes a run of hollow nodes at several sizes. Parse reads it from its file.
type Plan struct {
	Name, Description string
	Seed              uint64
	Timeout           time.Duration // maximum duration of the run over all sizes
	Sizes             []int         // numbers of hollow nodes, ascending; all steps run at each size
	NodesPerProcess   int           // maximum number of hollow nodes that share a process
	Voters            int           // number of voters, each with its own process
	ServeProcesses    int           // number of complete nodes that don't vote, each with its own process
	Regions           int           // number of regions; voters, serve processes and hollow nodes are assigned round-robin
	Zones             int           // number of zones, to which nodes are assigned as to regions
	TLS               bool
	Lease             lease.Config
	Content           Content
	Steps             []Step
}

// Content is the size of the configuration that the voters replicate to all nodes.
type Content struct {
	Clusters int `toml:"clusters" json:"clusters"`
	Servers  int `toml:"servers" json:"servers"` // endpoints of all clusters together
	Routes   int `toml:"routes" json:"routes"`
	Tenants  int `toml:"tenants" json:"tenants"`
}

// Kind is the kind of a step: what happens in the step.
type Kind string

// The kinds of steps.
const (
	KindIdle       Kind = "idle"     // nothing changes
	KindSettings   Kind = "settings" // versions with changed settings are published one after the other
	KindList       Kind = "list"     // delta updates of one cluster are published one after the other
	KindRestart    Kind = "restart"  // a fraction of the hollow nodes, or all of a zone, are restarted at once
	KindPartition  Kind = "apart"    // a partition between the regions begins
	KindHeal       Kind = "together" // the partition between the regions ends
	KindRestartAll Kind = "return"   // all hollow nodes are stopped, and then started at once
)

var kinds = []Kind{KindIdle, KindSettings, KindList, KindRestart, KindPartition, KindHeal, KindRestartAll}

// Step is a part of a run that has its own figures.
type Step struct {
	Name        string // part of the keys of the step's figures; the kind by default
	Kind        Kind
	Duration    time.Duration // KindIdle, KindPartition: length of the step
	Count       int           // KindSettings, KindList: number of versions
	Contradicts bool          // KindSettings: each version contradicts the version before
	Fraction    float64       // KindRestart: fraction of the hollow nodes to restart, up to 1; 0 if Zone is set
	Zone        int           // KindRestart: zone whose nodes are restarted, from 0; -1 if no zone is set
	EmptyStores bool          // KindRestart, KindRestartAll: the nodes' stores are removed before their start
	Timeout     time.Duration // maximum wait until all nodes act on the last version
}

// Bounds of a plan.
const (
	MaxNodes     = 4000 // hollow nodes at a size
	MaxProcesses = 300  // processes at a size
	maxSteps     = 64
	maxSizes     = 16
	maxChanges   = 1000 // versions that a step publishes
)
