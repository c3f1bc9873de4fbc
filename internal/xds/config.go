package xds

import (
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/state"
	"yokestall/internal/xds/translate"
)

// DefaultMaxMessageBytes is used if Config.MaxMessageBytes is 0.
const DefaultMaxMessageBytes = 64 << 20

// defaultFirstResponseTimeout is used if Config.FirstResponseTimeout is 0.
const defaultFirstResponseTimeout = 10 * time.Second

// defaultFailover is used if Config.Failover is the zero value.
var defaultFailover = ads.FailoverOptions{
	InitialBackoff:         500 * time.Millisecond,
	MaxBackoff:             30 * time.Second,
	PreferredProbeInterval: time.Minute,
}

// Config is the configuration of a Client.
type Config struct {
	Servers     []string // host:port, in order of preference; 1 or more
	Variant     ads.Variant
	NodeID      string // sent as node.id, by which the control plane identifies this program
	NodeCluster string // sent as node.cluster
	Zone        string // sent as node.locality.zone
	State       state.Options
	Translate   translate.Options
	Failover    ads.FailoverOptions // defaultFailover if it is the zero value
	// MissingTimeout is the time after which a requested resource that has not come counts as nonexistent; 0 for 15 s.
	MissingTimeout time.Duration
	// FirstResponseTimeout is the time after which a stream without a response is closed; 0 for 10 s.
	FirstResponseTimeout time.Duration
	// MaxMessageBytes is the size of the largest message that is accepted; 0 for DefaultMaxMessageBytes.
	MaxMessageBytes int
	// CacheFile is the path of the file that stores the last valid version; "" for no file.
	CacheFile string
}

// setDefaults replaces zero values of fields that have a default.
func (c *Config) setDefaults() {
	if c.MaxMessageBytes == 0 {
		c.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if c.FirstResponseTimeout == 0 {
		c.FirstResponseTimeout = defaultFirstResponseTimeout
	}
	if c.Failover == (ads.FailoverOptions{}) {
		c.Failover = defaultFailover
	}
}

// Delivery is a change of clusters or routes, as passed to the caller's function.
type Delivery struct {
	ReceivedAt time.Time         // when the message was received or the timeout handled; on Restore, the time of the call
	Clusters   []*cluster.Config // the new versions of clusters, including clusters that were not in force before
	Full       bool              // clusters were added or removed, or the routes changed: read View again
	View       *state.State      // valid only until the caller's function returns
}
