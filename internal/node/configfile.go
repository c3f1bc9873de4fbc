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
	minSockets     = 64 // also stated in the error text of Limits.complete
	// defaultConnIdle and defaultConnectTimeout apply if the settings leave these values out.
	defaultConnIdle       = 15 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
	// defaultDrainGrace applies if the settings leave out the drain grace. It is the shortest grace of any deployment,
	// so that sends to a draining endpoint end early enough whichever grace the deployment has.
	defaultDrainGrace = 100 * time.Millisecond
	maxDrainGrace     = time.Minute
	maxConnDuration   = 24 * time.Hour
)

// The errors that a configuration file can cause and that wrap no other error.
var (
	errNoSettings     = errors.New("settings: the object is missing")
	errNegativeLimits = errors.New("limits: cores, memory_mb and sockets must not be negative")
)

// configFile is the JSON form of the configuration file.
type configFile struct {
	Name        string          `json:"name"`
	Listen      string          `json:"listen"`
	Discovery   string          `json:"discovery"`
	AdminAddr   string          `json:"mgmt"`
	Seed        string          `json:"seed"` // hexadecimal
	Limits      Limits          `json:"limits"`
	InitialList endpointList    `json:"known"`
	Settings    json.RawMessage `json:"settings"` // decoded as the policy's settings and as nodeSettings
}

// nodeSettings holds the settings that the node needs and the policy does not: names, and limits and costs of connections.
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
		// List is the cost of each 100 instances in a polled endpoint list; the unit is the value of one served request.
		// The same key outside "Deductions" is the discovery mode (simulator.ParseSettings).
		List float64 `json:"RegistryMode"`
	} `json:"Deductions"`
}

type named struct {
	Name string `json:"Name"`
}

// parseConfig parses the text of a configuration file and applies the defaults for values that the file leaves out.
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

// complete validates the limits, and sets Sockets to its default if it is 0.
func (l *Limits) complete() error {
	if l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 {
		return errNegativeLimits
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if l.Sockets < minSockets {
		return fmt.Errorf("limits: sockets: %d is below the minimum of 64", l.Sockets)
	}
	return nil
}

// setNames maps the names of classes, tenants and zones to their indices. Names of classes and tenants must be unique and
// not empty, and a class name must be a valid path segment. The error for an empty tenant name also has a second index,
// which is always 0 and means nothing.
func (c *Config) setNames(s *nodeSettings) error {
	c.Classes, c.Tenants, c.Zones = map[string]int{}, map[string]int{}, map[string]int{}
	for i, class := range s.Classes {
		if class.Name == "" || strings.ContainsAny(class.Name, "/?#") {
			return fmt.Errorf("settings: Classes[%d].Name: %q is empty or contains '/', '?' or '#'", i, class.Name)
		}
		if first, exists := c.Classes[class.Name]; exists {
			return fmt.Errorf("settings: Classes[%d].Name: %q is the name of Classes[%d] too", i, class.Name, first)
		}
		c.Classes[class.Name] = i
	}
	for i, tenant := range s.Tenants {
		if first, exists := c.Tenants[tenant.Name]; exists || tenant.Name == "" {
			return fmt.Errorf("settings: Accounts[%d].Name: %q is empty, or the name of Accounts[%d] too", i, tenant.Name, first)
		}
		c.Tenants[tenant.Name] = i
	}
	for i, zone := range s.Zones {
		c.Zones[zone] = i
	}
	return nil
}

// setDurations sets the durations that the settings contain. A duration out of its range is an error.
func (c *Config) setDurations(s *nodeSettings) error {
	for _, d := range []struct {
		key         string
		valueMs     *float64 // nil keeps the default
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
