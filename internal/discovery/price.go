package discovery

import "time"

// recheckPart is how much of the worth of a node's own requests asking for whole lists may cost.
const recheckPart = 0.001

// RecheckAfter is the least time from one call for the whole list to the next, where lists have a
// price (of all service, for a hundred lines a request): so that the lines of a list cost
// no more than a thousandth of what the node's requests are worth meanwhile. perSecond are the
// node's own requests.
func RecheckAfter(price float64, lines int, perSecond float64, most time.Duration) time.Duration {
	if price <= 0 || lines <= 0 {
		return 0
	}
	inRequests := price * float64(lines) / 100
	seconds := inRequests / (recheckPart * max(perSecond, 0.01))
	if seconds >= most.Seconds() {
		return most
	}
	return time.Duration(seconds * float64(time.Second))
}
