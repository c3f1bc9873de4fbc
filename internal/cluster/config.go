package cluster

// The limits of a version's size.
const (
	MaxClusters  = 1000
	MaxEndpoints = 20000 // number of endpoints of one cluster
)

// ShrinkUnspecified is the value of Config.ShrinkTo if the cluster's source does not set shrink_to.
const ShrinkUnspecified = -1

// Config is one version of a cluster. It is immutable once it is in a Version.
type Config struct {
	Name      string
	Endpoints []Endpoint // sorted by id
	// AllowEmpty says that the cluster has no endpoints on purpose. Check then requires the list of endpoints to be empty;
	// otherwise it requires at least one endpoint.
	AllowEmpty bool
	// ShrinkTo is the number of endpoints that the version has on purpose: if the number is right, CheckRemovals accepts
	// any number of removals. With ShrinkUnspecified, CheckRemovals limits the removals.
	ShrinkTo int
	// Source names where the cluster comes from, for example a file, in error messages.
	Source    string
	Transport Transport
	Limits
}

// countServing returns the number of endpoints that new requests may be sent to.
func (c *Config) countServing() (serving int) {
	for i := range c.Endpoints {
		if c.Endpoints[i].Serves() {
			serving++
		}
	}
	return serving
}

// Version is the set of all clusters at one time. It is immutable once it is in use.
type Version struct {
	Number   uint64
	Clusters map[string]*Config // by name
}
