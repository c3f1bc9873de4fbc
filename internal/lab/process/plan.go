// Package process measures one real process of the program at a size that is given as data: what its configuration
// costs to check, to start with, to hold, to change and to decide by, and how these grow with the size.
package process

import (
	"fmt"
	"slices"
	"time"

	"yokestall/internal/config"
)

// The bounds of a size, beyond which the measurement itself does not fit on one machine.
const (
	maxServices = 2000
	maxServers  = 200_000 // of one service
	maxRoutes   = 2_000_000
	maxTenants  = 20_000_000
	maxWindow   = 10 * time.Minute
)

// Size is how much one process is told.
type Size struct {
	Name     string `toml:"name" json:"name"`
	Services int    `toml:"services" json:"services"`
	Servers  int    `toml:"servers" json:"servers"` // of each service
	Routes   int    `toml:"routes" json:"routes"`   // over all services
	Tenants  int    `toml:"tenants" json:"tenants"`
	Nodes    int    `toml:"nodes" json:"nodes"` // of the fleet that the process is one of
	// TenantsFile has the tenants in a file of their own, so that a change of settings is none of theirs.
	TenantsFile bool `toml:"tenants_file" json:"tenants_file,omitempty"`
	// MemoryMB is the program's soft limit of memory ([process] memory_mb); 0: none.
	MemoryMB int `toml:"memory_mb" json:"memory_mb,omitempty"`
	// OnlyIfAccepted leaves the size at its check where the program refuses it, in place of measuring with fewer tenants.
	OnlyIfAccepted bool `toml:"only_if_taken" json:"-"`
}

// Plan is what is measured, at which sizes.
type Plan struct {
	Seed uint64 `toml:"seed"`
	// FallbackTenants is measured with where the program refuses as many tenants as a size has.
	FallbackTenants int             `toml:"tenants_if_refused"`
	Rates           []float64       `toml:"rates"`         // requests a second, each in turn
	ServicesInUse   []int           `toml:"in_use"`        // services that requests are spread over, each in turn; 0: all
	ServerDelay     config.Duration `toml:"server_time"`   // what a stand-in server takes for an answer
	LoadDuration    config.Duration `toml:"load"`          // how long each rate is asked for
	RestDuration    config.Duration `toml:"rest"`          // how long the process is watched at rest
	SettleWindow    config.Duration `toml:"settle"`        // memory has settled where it is the same in two windows so long
	SettingsChanges []int           `toml:"changes"`       // of settings, counted from the start; figures are taken at each
	RouteChanges    int             `toml:"route_changes"` // of one route, after these
	ListChanges     int             `toml:"list_changes"`  // of one cluster's list, after those
	Sizes           []Size          `toml:"size"`
	Slopes          []Slope         `toml:"slope"`
}

// Slope names sizes over which figures are held against one dimension of them.
type Slope struct {
	Name      string   `toml:"name"`
	Dimension string   `toml:"per"` // services, routes or tenants
	Sizes     []string `toml:"sizes"`
}

// Select keeps sizes by their names; none: all.
func (p *Plan) Select(names []string) error {
	if len(names) == 0 {
		return nil
	}
	var kept []Size
	for _, name := range names {
		i := slices.IndexFunc(p.Sizes, func(s Size) bool { return s.Name == name })
		if i < 0 {
			return fmt.Errorf("no size %q", name)
		}
		kept = append(kept, p.Sizes[i])
	}
	p.Sizes = kept
	return nil
}

// Fallback gives the size that is measured in place of one that is refused for its tenants; false: it has no more than
// that.
func (p *Plan) Fallback(s Size) (Size, bool) {
	if s.Tenants <= p.FallbackTenants {
		return s, false
	}
	s.Tenants = p.FallbackTenants
	s.Name = fmt.Sprintf("%s-%d-tenants", s.Name, s.Tenants)
	return s, true
}

// WithFallbacks gives all sizes whose files may be wanted: those of the plan, and what is measured in place of refused ones.
func (p *Plan) WithFallbacks() (list []Size) {
	for _, s := range p.Sizes {
		list = append(list, s)
		if less, ok := p.Fallback(s); ok {
			list = append(list, less)
		}
	}
	return list
}

// dimensions are what a slope may go by.
var dimensions = map[string]func(Size) int{
	"services": func(s Size) int { return s.Services },
	"routes":   func(s Size) int { return s.Routes },
	"tenants":  func(s Size) int { return s.Tenants },
}
