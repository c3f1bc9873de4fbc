package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/hotrestart"
	"yokestall/internal/keepalive"
	"yokestall/internal/simulator"
	"yokestall/policy"
)

// Limits is what the node's machine grants it.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is all that a node is told at its start.
type Config struct {
	Name           string
	Listen         string // where clients connect
	Discovery      string // address of discovery
	Mgmt           string // the operators' address; "": none
	Shared         string // a folder that all processes of the node share; "": none
	Passed         string // the descriptor of the clients' socket; "": the node listens by itself
	Seed           uint64
	Limits         Limits
	Known          endpointList // the list as this node last had it
	Policy         policy.Settings
	Classes        map[string]int // name to index in Policy.Classes
	Tenants        map[string]int // name to index in Policy.Tenants
	Zones          map[string]int
	DrainGrace     time.Duration // from word of a drain on, in which sends to a server have to end
	ConnIdle       time.Duration // servers close a connection that was idle for so long
	ConnectTimeout time.Duration
	IdlePrices     keepalive.Prices
	ListPrice      float64      // for a hundred lines a request
	ClientsPart    float64      // of all descriptors, for client connections that have asked; 0.1 to 1
	Log            *slog.Logger // nil: the default one

	pollTiming discovery.PollTiming // of calls to discovery; zero: by the settings
}

const (
	// strictestGrace is the grace of drains where the settings have none: what is not told is
	// taken for as little as is known from anywhere.
	strictestGrace = 100 * time.Millisecond
	maxGrace       = time.Minute
	maxIdle        = 24 * time.Hour
)

// The names and socket figures among the settings that the module does not need.
type nodeSettings struct {
	Accounts, Classes []struct{ Name string }
	Zones             []string
	Limits            struct{ ConnIdleMs, ConnectTimeoutMs *float64 }
	Contract          struct{ DrainGraceMs *float64 }
	Deductions        struct{ Connection, Handshake, RegistryMode float64 }
}

// LoadConfig reads the file named by BALANCER_CONFIG; the other BALANCER
// variables, where set, go before what the file says.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG is not set")
	}
	c, err := readConfig(path)
	if err != nil {
		return nil, err
	}
	for name, to := range map[string]*string{
		"BALANCER_NAME": &c.Name, "BALANCER_LISTEN": &c.Listen, "BALANCER_DISCOVERY": &c.Discovery,
		"BALANCER_MGMT": &c.Mgmt,
	} {
		if v := getenv(name); v != "" {
			*to = v
		}
	}
	c.Shared, c.Passed = getenv("TMPDIR"), getenv(hotrestart.PassedSocket)
	if c.Listen == "" || c.Discovery == "" {
		return nil, fmt.Errorf("configuration %s: listen and discovery are required", path)
	}
	return c, nil
}

// ReloadDiscovery gives the address of discovery in the file named by
// BALANCER_CONFIG. The file goes first here: it may have been replaced since the
// start, and the environment can't have changed.
func ReloadDiscovery(getenv func(string) string) (string, error) {
	path := getenv("BALANCER_CONFIG")
	c, err := readConfig(path)
	if err != nil {
		return "", err
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return "", fmt.Errorf("configuration %s: discovery: %w", path, err)
	}
	return c.Discovery, nil
}

func readConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := parseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func parseConfig(text []byte) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Mgmt, Seed string
		Limits                              Limits
		Known                               endpointList
		Settings                            json.RawMessage
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings are missing")
	}
	c := &Config{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Mgmt: file.Mgmt, Limits: file.Limits, Known: file.Known,
		Classes: map[string]int{}, Tenants: map[string]int{}, Zones: map[string]int{},
		// The two figures are those of a deployment that names none (the bench's page on site files).
		ConnIdle: 15 * time.Second, ConnectTimeout: 250 * time.Millisecond, DrainGrace: strictestGrace,
		ClientsPart: clientsPart,
	}
	var err error
	if file.Seed != "" {
		if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %w", err)
		}
	}
	if c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 {
		return nil, errors.New("limits: negative")
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = 1024
	}
	if c.Limits.Sockets < 64 {
		return nil, fmt.Errorf("limits: %d sockets are too few", c.Limits.Sockets)
	}
	if c.Policy, err = simulator.ParseSettings(file.Settings); err != nil {
		return nil, err
	}
	var own nodeSettings
	if err := json.Unmarshal(file.Settings, &own); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for i, x := range own.Classes {
		if x.Name == "" || strings.ContainsAny(x.Name, "/?#") {
			return nil, fmt.Errorf("settings: Classes[%d].Name: %q can't be the first part of a path", i, x.Name)
		}
		if first, twice := c.Classes[x.Name]; twice {
			return nil, fmt.Errorf("settings: Classes[%d].Name: %q is Classes[%d] already", i, x.Name, first)
		}
		c.Classes[x.Name] = i
	}
	for i, x := range own.Accounts {
		if first, twice := c.Tenants[x.Name]; twice || x.Name == "" {
			return nil, fmt.Errorf("settings: Accounts[%d].Name: %q is none, or Accounts[%d] already", i, x.Name, first)
		}
		c.Tenants[x.Name] = i
	}
	for i, x := range own.Zones {
		c.Zones[x] = i
	}
	for _, t := range []struct {
		name        string
		given       *float64
		least, most time.Duration
		to          *time.Duration
	}{
		{"Contract.DrainGraceMs", own.Contract.DrainGraceMs, 0, maxGrace, &c.DrainGrace},
		{"Limits.ConnIdleMs", own.Limits.ConnIdleMs, time.Millisecond, maxIdle, &c.ConnIdle},
		{"Limits.ConnectTimeoutMs", own.Limits.ConnectTimeoutMs, time.Millisecond, maxIdle, &c.ConnectTimeout},
	} {
		if t.given == nil {
			continue
		}
		if v := *t.given; !(v >= ms(t.least) && v <= ms(t.most)) {
			return nil, fmt.Errorf("settings: %s: %v is not from %v to %v", t.name, v, ms(t.least), ms(t.most))
		}
		*t.to = millis(*t.given)
	}
	c.IdlePrices = keepalive.Prices{Handshake: own.Deductions.Handshake, Connection: own.Deductions.Connection}
	c.ListPrice = own.Deductions.RegistryMode
	return c, nil
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// classNames gives the names of the classes by their indices.
func (c *Config) classNames() []string {
	names := make([]string, len(c.Policy.Classes))
	for name, i := range c.Classes {
		names[i] = name
	}
	return names
}

// longestDeadline is how long a request taken now may still be open.
func (c *Config) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
