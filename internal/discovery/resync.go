// How often the full list may be requested where the platform charges for lists.

package discovery

import "time"

const (
	// maxResyncCostShare is the maximum cost of full lists, as a fraction of the value of the node's own requests.
	maxResyncCostShare = 0.001
	// minRequestsPerSecond is the lower bound of the request rate with which the cost of full lists is compared.
	minRequestsPerSecond = 0.01
)

// ResyncInterval returns the minimum interval between two requests for the full list. It is chosen so that the list costs
// no more than maxResyncCostShare of the value of the requests that the node handles in that interval, but does not
// exceed maxInterval. price is the cost of each 100 instances in the list; the unit is the value of one served request. If
// price is 0, the result is 0. instances is the length of the list, and requestsPerSecond the rate of the node's own
// requests.
func ResyncInterval(price float64, instances int, requestsPerSecond float64, maxInterval time.Duration) time.Duration {
	if price <= 0 || instances <= 0 {
		return 0
	}
	costInRequests := price * float64(instances) / 100
	seconds := costInRequests / (maxResyncCostShare * max(requestsPerSecond, minRequestsPerSecond))
	if seconds >= maxInterval.Seconds() {
		return maxInterval
	}
	return time.Duration(seconds * float64(time.Second))
}
