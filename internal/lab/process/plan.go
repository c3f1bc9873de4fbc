package process

import (
	"fmt"
	"slices"
	"time"

	"yokestall/internal/config"
)

// The bounds of a plan, beyond which the measurement itself does not fit on one machine.
const (
	maxServices = 2000
	maxServers  = 200_000 // of one service
	maxRoutes   = 2_000_000
	maxTenants  = 20_000_000
	maxNodes    = 100_000
	maxWindow   = 10 * time.Minute // of each duration
)

// Size is the size of one process's configuration.
type Size struct {
	Name     string `toml:"name" json:"name"`
	Services int    `toml:"services" json:"services"`
	Servers  int    `toml:"servers" json:"servers"` // of each service
	Routes   int    `toml:"routes" json:"routes"`   // over all services
	Tenants  int    `toml:"tenants" json:"tenants"`
	Nodes    int    `toml:"nodes" json:"nodes"` // of the fleet that the process is one of
	// TenantsFile puts the tenants into a file of their own, so that a change of settings doesn't change it.
	TenantsFile bool `toml:"tenants_file" json:"tenants_file,omitempty"`
	// MemoryMB is the program's soft limit of memory ([process] memory_mb); 0: none.
	MemoryMB int `toml:"memory_mb" json:"memory_mb,omitempty"`
	// OnlyIfAccepted ends the size's run if the program rejects it, in place of a run with fewer tenants.
	OnlyIfAccepted bool `toml:"only_if_taken" json:"-"`
}

// Plan is a run: its sizes, and what is done at each.
type Plan struct {
	Seed uint64 `toml:"seed"`
	// FallbackTenants are those of a size that the program rejects with its own.
	FallbackTenants int             `toml:"tenants_if_refused"`
	Rates           []float64       `toml:"rates"`         // requests a second, each in turn
	ServicesInUse   []int           `toml:"in_use"`        // numbers of services that get requests, each in turn; 0: all
	ServerDelay     config.Duration `toml:"server_time"`   // of each answer of the fake servers
	LoadDuration    config.Duration `toml:"load"`          // of each rate
	RestDuration    config.Duration `toml:"rest"`          // without requests
	SettleWindow    config.Duration `toml:"settle"`        // windows by which memory is found to have settled
	SettingsChanges []int           `toml:"changes"`       // totals of changes, ascending, at which there are figures
	RouteChanges    int             `toml:"route_changes"` // changes of one route, after SettingsChanges
	ListChanges     int             `toml:"list_changes"`  // changes of one cluster's list, after RouteChanges
	Sizes           []Size          `toml:"size"`
	Slopes          []Slope         `toml:"slope"`
}

// Slope names the sizes whose figures are fitted by a line over one dimension.
type Slope struct {
	Name      string   `toml:"name"`
	Dimension string   `toml:"per"` // services, routes or tenants
	Sizes     []string `toml:"sizes"`
}

// Select reduces the plan to the sizes of these names, in their order; no names: all sizes. An unknown name is an
// error.
func (p *Plan) Select(names []string) error {
	if len(names) == 0 {
		return nil
	}
	var selected []Size
	for _, name := range names {
		i := slices.IndexFunc(p.Sizes, func(s Size) bool { return s.Name == name })
		if i < 0 {
			return fmt.Errorf("no size %q", name)
		}
		selected = append(selected, p.Sizes[i])
	}
	p.Sizes = selected
	return nil
}

// Fallback returns the size with FallbackTenants that is measured if the program rejects s; false: s has no more
// tenants than that.
func (p *Plan) Fallback(s Size) (Size, bool) {
	if s.Tenants <= p.FallbackTenants {
		return s, false
	}
	s.Tenants = p.FallbackTenants
	s.Name = fmt.Sprintf("%s-%d-tenants", s.Name, s.Tenants)
	return s, true
}

// WithFallbacks returns all sizes that a run may measure: those of the plan, each followed by its Fallback.
func (p *Plan) WithFallbacks() (list []Size) {
	for _, s := range p.Sizes {
		list = append(list, s)
		if fallback, ok := p.Fallback(s); ok {
			list = append(list, fallback)
		}
	}
	return list
}

// dimensions are those of Slope.Dimension, by name.
var dimensions = map[string]func(Size) int{
	"services": func(s Size) int { return s.Services },
	"routes":   func(s Size) int { return s.Routes },
	"tenants":  func(s Size) int { return s.Tenants },
}
