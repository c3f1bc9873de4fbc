package lab

import "time"

const (
	// recoveryStep is the time between two entries of fleetsim.Result.Tenths.
	recoveryStep = 100 * time.Millisecond
	// recoveryWindow is over how many steps outcomes are compared.
	recoveryWindow = 5
)

// RecoveryTimes returns, for each of some shares, how long after a moment o first earned that share of what the oracle
// earned, over half a second and all seeds; negative: never.
func RecoveryTimes(o, oracle *Outcome, from time.Duration, shares ...float64) []time.Duration {
	var list []time.Duration
	for _, share := range shares {
		list = append(list, o.recoveryTime(oracle, from, share))
	}
	return list
}

// recoveryTime returns the time for one share.
func (o *Outcome) recoveryTime(oracle *Outcome, from time.Duration, share float64) time.Duration {
	first := int(from / recoveryStep)
	last := len(o.Seeds[0].Tenths) - 1 - recoveryWindow
	for step := first; step <= last; step++ {
		reference := oracle.earnedInWindow(step)
		if reference > 0 && o.earnedInWindow(step) >= share*reference {
			return time.Duration(step-first) * recoveryStep
		}
	}
	return -1
}

// earnedInWindow returns the weight that was earned in the window from a step on, the sum over all seeds.
func (o *Outcome) earnedInWindow(step int) float64 {
	earned := 0.0
	for _, r := range o.Seeds {
		for _, weight := range r.Tenths[step : step+recoveryWindow] {
			earned += weight
		}
	}
	return earned
}
