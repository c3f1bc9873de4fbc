package node

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/hotrestart"
	"yokestall/internal/keepalive"
	"yokestall/policy"
)

// Limits is what the node's machine grants it; 0 means no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"` // MiB
	Sockets  int     `json:"sockets"`   // descriptors; defaultSockets if the file has none
}

// Config is the configuration of a node at its start.
type Config struct {
	Name            string
	Listen          string // address for clients
	Discovery       string // address of discovery
	AdminAddr       string // address of the admin API; "": none
	SharedDir       string // a folder that all processes of the node share; "": none
	InheritedSocket string // the descriptor of the clients' socket; "": the node opens its own
	Seed            uint64 // of the policy's random draws
	Limits          Limits
	InitialList     endpointList // the endpoint list as this node last had it
	Policy          policy.Settings
	Classes         map[string]int // name to index in Policy.Classes
	Tenants         map[string]int // name to index in Policy.Tenants
	Zones           map[string]int // name to zone number
	DrainGrace      time.Duration  // from the notice of a drain until the last send to the endpoint
	ConnIdle        time.Duration  // endpoints close a connection that was idle for so long
	ConnectTimeout  time.Duration
	IdlePrices      keepalive.Prices
	ListPrice       float64      // cost of polling a hundred instances of a list, in requests
	ClientShare     float64      // of all descriptors, for client connections with a request; 0.1 to 1
	Log             *slog.Logger // nil: the default one

	pollTiming discovery.PollTiming // of calls to discovery; zero: by the settings
}

// The environment variables that override the configuration file's values.
const (
	configEnv    = "BALANCER_CONFIG" // path of the file
	nameEnv      = "BALANCER_NAME"
	listenEnv    = "BALANCER_LISTEN"
	discoveryEnv = "BALANCER_DISCOVERY"
	adminEnv     = "BALANCER_MGMT"
	sharedDirEnv = "TMPDIR"
)

// errNoConfig is returned where the environment names no configuration file.
var errNoConfig = errors.New(configEnv + " is not set")

// LoadConfig reads the configuration file that the environment names, and applies the environment's
// overrides.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv(configEnv)
	if path == "" {
		return nil, errNoConfig
	}
	c, err := readConfig(path)
	if err != nil {
		return nil, err
	}
	for name, field := range map[string]*string{
		nameEnv: &c.Name, listenEnv: &c.Listen, discoveryEnv: &c.Discovery, adminEnv: &c.AdminAddr,
	} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	c.SharedDir, c.InheritedSocket = getenv(sharedDirEnv), getenv(hotrestart.InheritedSocketEnv)
	if c.Listen == "" || c.Discovery == "" {
		return nil, fmt.Errorf("configuration %s: listen and discovery are required", path)
	}
	return c, nil
}

// ReloadDiscovery returns the address of discovery in the configuration file that the environment
// names. Here the file takes precedence over the environment: it may have been replaced since the
// start, the environment can't have changed.
func ReloadDiscovery(getenv func(string) string) (string, error) {
	path := getenv(configEnv)
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

// classNames returns the names of the classes by their indices.
func (c *Config) classNames() []string {
	names := make([]string, len(c.Policy.Classes))
	for name, i := range c.Classes {
		names[i] = name
	}
	return names
}

// longestDeadline returns how long a request accepted now may still be in flight.
func (c *Config) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
