package lab

import (
	"time"
)

// Recovered is how long after a moment o earned so many shares of what the oracle earned, each for the first time over
// half a second, means over the seeds; negative: never.
func Recovered(o, oracle *Outcome, from time.Duration, shares ...float64) []time.Duration {
	const step, window = 100 * time.Millisecond, 5
	sum := func(o *Outcome, at int) (earned float64) {
		for _, r := range o.Seeds {
			for _, e := range r.Tenths[at : at+window] {
				earned += e
			}
		}
		return earned
	}
	first := int(from / step)
	var list []time.Duration
	for _, share := range shares {
		found := time.Duration(-1)
		for at := first; at+window <= len(o.Seeds[0].Tenths)-1; at++ {
			if could := sum(oracle, at); could > 0 && sum(o, at) >= share*could {
				found = time.Duration(at-first) * step
				break
			}
		}
		list = append(list, found)
	}
	return list
}
