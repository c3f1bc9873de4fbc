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

// Limits holds the resources that the node may use on its machine. Cores and MemoryMB are unlimited if they are 0.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"` // in MiB
	Sockets  int     `json:"sockets"`   // file descriptors; 0 in the file stands for defaultSockets
}

// Config is the configuration that a node starts with.
type Config struct {
	Name            string
	Listen          string // address on which the node accepts clients
	Discovery       string // host and port of the discovery service
	AdminAddr       string // address of the admin API; "" disables the admin API
	SharedDir       string // directory that all processes of the node share; "" if there is none
	InheritedSocket string // descriptor number of the inherited listener for clients; "" if the node opens its own
	Seed            uint64 // seed of the policy's random numbers
	Limits          Limits
	InitialList     endpointList // the last endpoint list that this node had
	Policy          policy.Settings
	Classes         map[string]int // index in Policy.Classes by class name
	Tenants         map[string]int // index in Policy.Tenants by tenant name
	Zones           map[string]int // zone number by zone name
	DrainGrace      time.Duration  // time from the drain notice to the last send to the draining endpoint
	ConnIdle        time.Duration  // time after which endpoints close an idle connection
	ConnectTimeout  time.Duration
	IdlePrices      keepalive.Prices
	ListPrice       float64      // cost of each 100 instances in a polled list; the unit is the value of one served request
	ClientShare     float64      // share of all descriptors for client connections with a request, from 0.1 to 1
	Log             *slog.Logger // nil selects slog.Default

	pollTiming discovery.PollTiming // zero selects the timing for the kind of discovery that the settings name
}

// The environment variables that a node reads besides hotrestart.InheritedSocketEnv. configEnv names the configuration file,
// and sharedDirEnv the directory that the node's processes share. The others override values of the configuration file.
const (
	configEnv    = "BALANCER_CONFIG" // path of the configuration file
	nameEnv      = "BALANCER_NAME"
	listenEnv    = "BALANCER_LISTEN"
	discoveryEnv = "BALANCER_DISCOVERY"
	adminEnv     = "BALANCER_MGMT"
	sharedDirEnv = "TMPDIR"
)

// errNoConfig is returned if the environment names no configuration file.
var errNoConfig = errors.New(configEnv + " is not set")

// LoadConfig reads the configuration file that the environment names, and then applies the environment variables that
// override its values.
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

// ReloadDiscovery rereads the configuration file that the environment names, and returns its address of the discovery
// service. Here the file takes precedence over the environment, since the file may have been replaced after the start of
// the process and the environment can't have changed.
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

// classNames returns the names of the classes, ordered by their indices in Policy.Classes.
func (c *Config) classNames() []string {
	names := make([]string, len(c.Policy.Classes))
	for name, i := range c.Classes {
		names[i] = name
	}
	return names
}

// longestDeadline returns the longest deadline of all classes, which bounds how long an accepted request is in flight.
func (c *Config) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
