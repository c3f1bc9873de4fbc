// How often the full list may be requested where the platform charges for lists.

package discovery

import "time"

const (
	// maxResyncCostShare is the share of the value of the node's own requests that full lists may cost.
	maxResyncCostShare = 0.001
	// minRequestsPerSecond is the least request rate that the cost is compared with.
	minRequestsPerSecond = 0.01
)

// ResyncInterval returns the shortest interval between two requests of the full list, longest at most, so that a list
// costs no more than maxResyncCostShare of the value of the node's requests meanwhile. price is the cost of a hundred
// instances, in requests; at 0 there is no shortest interval. instances is the length of the list, and
// requestsPerSecond the rate of the node's own requests.
func ResyncInterval(price float64, instances int, requestsPerSecond float64, longest time.Duration) time.Duration {
	if price <= 0 || instances <= 0 {
		return 0
	}
	costInRequests := price * float64(instances) / 100
	seconds := costInRequests / (maxResyncCostShare * max(requestsPerSecond, minRequestsPerSecond))
	if seconds >= longest.Seconds() {
		return longest
	}
	return time.Duration(seconds * float64(time.Second))
}
