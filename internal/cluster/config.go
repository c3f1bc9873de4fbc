package cluster

// The sizes of a version.
const (
	MaxClusters  = 1000
	MaxEndpoints = 20000 // of one cluster
)

// ShrinkUnspecified is the value of Config.ShrinkTo where a source says nothing about it.
const ShrinkUnspecified = -1

// Config is one version of a cluster. It is immutable once it is in a Version.
type Config struct {
	Name      string
	Endpoints []Endpoint // sorted by id
	// AllowEmpty says that the cluster has no endpoints on purpose.
	AllowEmpty bool
	// ShrinkTo is the number of endpoints that the version has on purpose, however many were removed;
	// ShrinkUnspecified: CheckRemovals limits how many may be removed.
	ShrinkTo int
	// Source names where the cluster comes from, for messages.
	Source    string
	Transport Transport
	Limits
}

// countServing returns how many endpoints new requests may be sent to.
func (c *Config) countServing() (serving int) {
	for i := range c.Endpoints {
		if c.Endpoints[i].Serves() {
			serving++
		}
	}
	return serving
}

// Version is all clusters at one time. It is immutable once it is in use.
type Version struct {
	Number   uint64
	Clusters map[string]*Config // by name
}
