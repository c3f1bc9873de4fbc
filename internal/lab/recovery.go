package lab

import "time"

const (
	// recoveryStep is the time between two entries of fleetsim.Result.WeightByTenth.
	recoveryStep = 100 * time.Millisecond
	// recoveryWindow is the number of steps over which earned weights are summed and compared.
	recoveryWindow = 5
)

// RecoveryTimes returns, for each share, the time from the given time of the day until o first earned that share of the
// oracle's weight, over half a second and all seeds. It is negative if o never did.
func RecoveryTimes(o, oracle *Outcome, from time.Duration, shares ...float64) []time.Duration {
	var list []time.Duration
	for _, share := range shares {
		list = append(list, o.recoveryTime(oracle, from, share))
	}
	return list
}

// recoveryTime returns the recovery time for one share; see RecoveryTimes.
func (o *Outcome) recoveryTime(oracle *Outcome, from time.Duration, share float64) time.Duration {
	first := int(from / recoveryStep)
	last := len(o.Seeds[0].WeightByTenth) - 1 - recoveryWindow
	for step := first; step <= last; step++ {
		reference := oracle.earnedInWindow(step)
		if reference > 0 && o.earnedInWindow(step) >= share*reference {
			return time.Duration(step-first) * recoveryStep
		}
	}
	return -1
}

// earnedInWindow returns the weight earned in the window that begins at a step, summed over all seeds.
func (o *Outcome) earnedInWindow(step int) float64 {
	earned := 0.0
	for _, r := range o.Seeds {
		for _, weight := range r.WeightByTenth[step : step+recoveryWindow] {
			earned += weight
		}
	}
	return earned
}
