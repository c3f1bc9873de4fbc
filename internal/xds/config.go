package xds

import (
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/state"
	"yokestall/internal/xds/translate"
)

// DefaultMaxMessageBytes is Config.MaxMessageBytes where that is 0.
const DefaultMaxMessageBytes = 64 << 20

// defaultFirstResponseTimeout is Config.FirstResponseTimeout where that is 0.
const defaultFirstResponseTimeout = 10 * time.Second

// defaultFailover is Config.Failover where that is zero.
var defaultFailover = ads.FailoverOptions{
	InitialBackoff:         500 * time.Millisecond,
	MaxBackoff:             30 * time.Second,
	PreferredProbeInterval: time.Minute,
}

// Config says which control planes are followed, and how.
type Config struct {
	Servers     []string // host:port, in order of preference; 1 or more
	Variant     ads.Variant
	NodeID      string // node.id, by which the control plane identifies this program
	NodeCluster string // node.cluster
	Zone        string // node.locality.zone
	State       state.Options
	Translate   translate.Options
	Failover    ads.FailoverOptions // zero for the defaults
	// MissingTimeout is ads.Options.MissingTimeout.
	MissingTimeout time.Duration
	// FirstResponseTimeout is the time after which a stream without a response is closed; 0 for 10 s.
	FirstResponseTimeout time.Duration
	// MaxMessageBytes bounds one message; 0 for DefaultMaxMessageBytes.
	MaxMessageBytes int
	// CacheFile is the file of the last valid version; "" for none.
	CacheFile string
}

// setDefaults replaces zero values by the defaults.
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

// Delivery is a change that a control plane has made.
type Delivery struct {
	ReceivedAt time.Time         // when its last byte came
	Clusters   []*cluster.Config // new versions of clusters that were there before
	Full       bool              // View differs in more than Clusters
	View       *state.State      // valid during the call only
}
