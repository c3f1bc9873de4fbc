package ownership

import (
	"slices"
	"time"
)

const (
	// minLeaseDivisor avoids tiny leases: a node releases nothing if it can spare at most a hundredth of its own share,
	// and is granted nothing if it lacks at most a hundredth of its own share.
	minLeaseDivisor = 100
	// maxLeases is how many released shares and how many grants a node has at most.
	maxLeases = 64
)

// capacityLease is a share of the budget that is released or granted until a time.
type capacityLease struct {
	share float64       // fraction of the budget
	end   time.Duration // on the clock of the process that has the record
}

// removeExpired returns the leases that have not ended; it reuses the slice.
func removeExpired(leases []capacityLease, now time.Duration) []capacityLease {
	return slices.DeleteFunc(leases, func(l capacityLease) bool { return l.end <= now })
}
