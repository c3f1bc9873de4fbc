package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"yokestall/internal/keepalive"
	"yokestall/internal/simulator"
)

const (
	defaultSockets = 1024
	minSockets     = 64
	// defaultConnIdle and defaultConnectTimeout are those of a deployment whose settings have none.
	defaultConnIdle       = 15 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
	// defaultDrainGrace is the shortest grace of any deployment: without a stated one, sends have to
	// end as early.
	defaultDrainGrace = 100 * time.Millisecond
	maxDrainGrace     = time.Minute
	maxConnDuration   = 24 * time.Hour
)

// The errors of a configuration file that have no cause below them.
var (
	errNoSettings     = errors.New("settings are missing")
	errNegativeLimits = errors.New("limits: negative")
)

// configFile is the configuration file.
type configFile struct {
	Name        string          `json:"name"`
	Listen      string          `json:"listen"`
	Discovery   string          `json:"discovery"`
	AdminAddr   string          `json:"mgmt"`
	Seed        string          `json:"seed"` // hexadecimal
	Limits      Limits          `json:"limits"`
	InitialList endpointList    `json:"known"`
	Settings    json.RawMessage `json:"settings"` // of the policy, and nodeSettings
}

// nodeSettings are the settings that the policy does not need: names, and figures of connections.
type nodeSettings struct {
	Tenants []named  `json:"Accounts"`
	Classes []named  `json:"Classes"`
	Zones   []string `json:"Zones"`
	Limits  struct {
		ConnIdleMs       *float64 `json:"ConnIdleMs"`
		ConnectTimeoutMs *float64 `json:"ConnectTimeoutMs"`
	} `json:"Limits"`
	Contract struct {
		DrainGraceMs *float64 `json:"DrainGraceMs"`
	} `json:"Contract"`
	Prices struct {
		Connection float64 `json:"Connection"`
		Handshake  float64 `json:"Handshake"`
		// List is the price of a list. Under the same key beside "Deductions" stands the discovery mode
		// (simulator.ParseSettings).
		List float64 `json:"RegistryMode"`
	} `json:"Deductions"`
}

type named struct {
	Name string `json:"Name"`
}

// parseConfig parses a configuration file.
func parseConfig(text []byte) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	if len(file.Settings) == 0 {
		return nil, errNoSettings
	}
	c := &Config{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, AdminAddr: file.AdminAddr,
		Limits: file.Limits, InitialList: file.InitialList,
		ConnIdle: defaultConnIdle, ConnectTimeout: defaultConnectTimeout, DrainGrace: defaultDrainGrace,
		ClientShare: defaultClientShare,
	}
	var err error
	if file.Seed != "" {
		if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %w", err)
		}
	}
	if err := c.Limits.complete(); err != nil {
		return nil, err
	}
	if c.Policy, err = simulator.ParseSettings(file.Settings); err != nil {
		return nil, err
	}
	var settings nodeSettings
	if err := json.Unmarshal(file.Settings, &settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := c.setNames(&settings); err != nil {
		return nil, err
	}
	if err := c.setDurations(&settings); err != nil {
		return nil, err
	}
	c.IdlePrices = keepalive.Prices{Handshake: settings.Prices.Handshake, Connection: settings.Prices.Connection}
	c.ListPrice = settings.Prices.List
	return c, nil
}

// complete checks the limits and sets the default of those that need one.
func (l *Limits) complete() error {
	if l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 {
		return errNegativeLimits
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if l.Sockets < minSockets {
		return fmt.Errorf("limits: %d sockets are too few", l.Sockets)
	}
	return nil
}

// setNames sets the indices of classes, tenants and zones by their names.
func (c *Config) setNames(s *nodeSettings) error {
	c.Classes, c.Tenants, c.Zones = map[string]int{}, map[string]int{}, map[string]int{}
	for i, class := range s.Classes {
		if class.Name == "" || strings.ContainsAny(class.Name, "/?#") {
			return fmt.Errorf("settings: Classes[%d].Name: %q can't be the first part of a path", i, class.Name)
		}
		if first, exists := c.Classes[class.Name]; exists {
			return fmt.Errorf("settings: Classes[%d].Name: %q is Classes[%d] already", i, class.Name, first)
		}
		c.Classes[class.Name] = i
	}
	for i, tenant := range s.Tenants {
		if first, exists := c.Tenants[tenant.Name]; exists || tenant.Name == "" {
			return fmt.Errorf("settings: Accounts[%d].Name: %q is none, or Accounts[%d] already", i, tenant.Name, first)
		}
		c.Tenants[tenant.Name] = i
	}
	for i, zone := range s.Zones {
		c.Zones[zone] = i
	}
	return nil
}

// setDurations sets the durations that the settings have, each within its range.
func (c *Config) setDurations(s *nodeSettings) error {
	for _, d := range []struct {
		key         string
		valueMs     *float64 // nil: the default stays
		least, most time.Duration
		field       *time.Duration
	}{
		{"Contract.DrainGraceMs", s.Contract.DrainGraceMs, 0, maxDrainGrace, &c.DrainGrace},
		{"Limits.ConnIdleMs", s.Limits.ConnIdleMs, time.Millisecond, maxConnDuration, &c.ConnIdle},
		{"Limits.ConnectTimeoutMs", s.Limits.ConnectTimeoutMs, time.Millisecond, maxConnDuration, &c.ConnectTimeout},
	} {
		if d.valueMs == nil {
			continue
		}
		leastMs, mostMs := inMilliseconds(d.least), inMilliseconds(d.most)
		if v := *d.valueMs; !(v >= leastMs && v <= mostMs) { // NaN is not in range
			return fmt.Errorf("settings: %s: %v is not from %v to %v", d.key, v, leastMs, mostMs)
		}
		*d.field = fromMilliseconds(*d.valueMs)
	}
	return nil
}

func inMilliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
