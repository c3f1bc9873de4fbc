package process

import (
	"fmt"
	"slices"
	"time"

	"yokestall/internal/config"
)

// The bounds of a plan. One machine can't hold a measurement with larger values.
const (
	maxServices = 2000
	maxServers  = 200_000 // servers per service
	maxRoutes   = 2_000_000
	maxTenants  = 20_000_000
	maxNodes    = 100_000
	maxDuration = 10 * time.Minute // maximum of each duration in a plan
)

// Size is the size of the configuration of one process.
type Size struct {
	Name     string `toml:"name" json:"name"`
	Services int    `toml:"services" json:"services"`
	Servers  int    `toml:"servers" json:"servers"` // servers of each service
	Routes   int    `toml:"routes" json:"routes"`   // routes of all services together
	Tenants  int    `toml:"tenants" json:"tenants"`
	Nodes    int    `toml:"nodes" json:"nodes"` // nodes of the fleet, including the measured process
	// TenantsFile puts the tenants into a separate file, so that a change of settings doesn't change the tenants' file.
	TenantsFile bool `toml:"tenants_file" json:"tenants_file,omitempty"`
	// MemoryMB is the program's soft memory limit in MB ([process] memory_mb). If it is 0, there is no limit.
	MemoryMB int `toml:"memory_mb" json:"memory_mb,omitempty"`
	// OnlyIfAccepted ends the measurement of the size if the program rejects it. Without it, the size is then measured with
	// Plan.FallbackTenants.
	OnlyIfAccepted bool `toml:"only_if_taken" json:"-"`
}

// Plan defines a run: its sizes, and the steps that are measured at each size.
type Plan struct {
	Seed uint64 `toml:"seed"`
	// FallbackTenants is the number of tenants that a size is measured with if the program rejects the size's own number.
	FallbackTenants int             `toml:"tenants_if_refused"`
	Rates           []float64       `toml:"rates"`         // rates of load in requests per second, one after the other
	ServicesInUse   []int           `toml:"in_use"`        // numbers of services that get requests, one after the other; 0: all
	ServerDelay     config.Duration `toml:"server_time"`   // delay of each response of the fake servers
	LoadDuration    config.Duration `toml:"load"`          // duration of the load at each rate and number of services
	IdleDuration    config.Duration `toml:"rest"`          // duration of the measurement without requests
	SettleWindow    config.Duration `toml:"settle"`        // length of a window of AwaitSettledMemory
	SettingsChanges []int           `toml:"changes"`       // ascending totals of settings changes at which figures are measured
	RouteChanges    int             `toml:"route_changes"` // number of changes of one route, made after the settings changes
	ListChanges     int             `toml:"list_changes"`  // number of changes of one endpoint list, made after the route changes
	Sizes           []Size          `toml:"size"`
	Slopes          []Slope         `toml:"slope"`
}

// Slope defines a fit of figures: for each figure, a line over one dimension of several sizes.
type Slope struct {
	Name      string   `toml:"name"`
	Dimension string   `toml:"per"`   // services, routes or tenants
	Sizes     []string `toml:"sizes"` // names of the sizes
}

// Select reduces the plan to the sizes with these names, in the order of the names. With no names the plan keeps all sizes. An
// unknown name is an error.
func (p *Plan) Select(names []string) error {
	if len(names) == 0 {
		return nil
	}
	var selected []Size
	for _, name := range names {
		i := slices.IndexFunc(p.Sizes, func(s Size) bool { return s.Name == name })
		if i < 0 {
			return fmt.Errorf("the plan has no size %q", name)
		}
		selected = append(selected, p.Sizes[i])
	}
	p.Sizes = selected
	return nil
}

// Fallback returns the size with FallbackTenants that is measured if the program rejects s. It returns s and false if s has no
// more than FallbackTenants.
func (p *Plan) Fallback(s Size) (Size, bool) {
	if s.Tenants <= p.FallbackTenants {
		return s, false
	}
	s.Tenants = p.FallbackTenants
	s.Name = fmt.Sprintf("%s-%d-tenants", s.Name, s.Tenants)
	return s, true
}

// WithFallbacks returns all sizes that a run may measure: each size of the plan, followed by its Fallback if there is one.
func (p *Plan) WithFallbacks() (list []Size) {
	for _, s := range p.Sizes {
		list = append(list, s)
		if fallback, ok := p.Fallback(s); ok {
			list = append(list, fallback)
		}
	}
	return list
}

// dimensions has, for each value of Slope.Dimension, the function that returns this dimension of a size.
var dimensions = map[string]func(Size) int{
	"services": func(s Size) int { return s.Services },
	"routes":   func(s Size) int { return s.Routes },
	"tenants":  func(s Size) int { return s.Tenants },
}
