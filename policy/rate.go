package policy

import "time"

// rateDecaySeconds is the time constant of a decayingRate, in seconds.
const rateDecaySeconds = 2.0

// decayingRate estimates a rate per second. The influence of earlier amounts decays with the time constant
// rateDecaySeconds. The zero value is a rate of 0.
type decayingRate struct {
	updatedAt time.Duration
	value     float64 // per second, as of updatedAt
}

// add adds an amount, such as a number of requests or seconds of work.
func (d *decayingRate) add(now time.Duration, amount float64) {
	d.value = d.perSecond(now) + amount/rateDecaySeconds
	d.updatedAt = now
}

// perSecond returns the rate at the given time. The decay approximates exp(-elapsed), where elapsed is the
// time since the last update in units of rateDecaySeconds.
func (d *decayingRate) perSecond(now time.Duration) float64 {
	elapsed := (now - d.updatedAt).Seconds() / rateDecaySeconds
	return d.value / (1 + elapsed + elapsed*elapsed/2)
}
