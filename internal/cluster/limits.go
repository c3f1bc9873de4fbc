package cluster

import "time"

// MaxDrops is the largest number of a cluster's drop categories.
const MaxDrops = 16

// Limits bound a cluster's requests and connections, in addition to the program's own limits. The zero value adds no
// limit.
type Limits struct {
	ConnectTimeout time.Duration // timeout for opening a connection; 0: the program's
	MaxConnections int           // limit for a priority's healthy endpoints, and again for its degraded; 0: the program's
	MaxRequests    int           // limit for requests in flight; 0: no limit
	MaxRetries     int           // limit for second and later attempts in flight; 0: no limit
	// OverprovisioningFactor is the factor by which a priority's share of healthy endpoints is multiplied to get the share
	// of the load that they are expected to serve: with 1.4, a priority of which 72 % are healthy keeps all of its load.
	// 0 stands for 1.4.
	OverprovisioningFactor float64
	Drops                  []Drop
}

// Drop is a share of the cluster's requests that is rejected.
type Drop struct {
	Category string
	Fraction float64 // share of the requests, from 0 to 1
}
