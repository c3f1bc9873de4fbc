package cluster

import "time"

// MaxDrops is how many categories of drops a cluster may have.
const MaxDrops = 16

// Limits bound a cluster's requests and connections, beside the program's own limits. The zero value adds no limit.
type Limits struct {
	ConnectTimeout time.Duration // 0: the program's
	MaxConnections int           // to the healthy, and to the degraded, endpoints of a priority; 0: the program's
	MaxRequests    int           // in flight; 0: no limit
	MaxRetries     int           // second and later attempts in flight; 0: no limit
	// OverprovisioningFactor is how much of a priority's load its healthy part is taken to serve: 1.4 keeps all of
	// the load on a priority of which 72 % are healthy. 0: 1.4.
	OverprovisioningFactor float64
	Drops                  []Drop
}

// Drop is a share of the requests that is rejected.
type Drop struct {
	Category string
	Fraction float64 // 0 to 1
}
