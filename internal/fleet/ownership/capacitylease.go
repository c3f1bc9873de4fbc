package ownership

import (
	"slices"
	"time"
)

const (
	// minLeaseDivisor bounds leases from below: one of less than a hundredth of a node's own share is not made.
	minLeaseDivisor = 100
	// maxLeases is how many leases of each kind a node has at most.
	maxLeases = 64
)

// capacityLease is a share of the budget that is leased until a time.
type capacityLease struct {
	share float64       // fraction of the budget
	end   time.Duration // on the clock of whoever has the record
}

// removeExpired removes the leases that have ended.
func removeExpired(leases []capacityLease, now time.Duration) []capacityLease {
	return slices.DeleteFunc(leases, func(l capacityLease) bool { return l.end <= now })
}
