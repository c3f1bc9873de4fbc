package tlskeys

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

const day = 24 * time.Hour

// expiryWarning is the time before a certificate expires at which the first warning is logged.
const expiryWarning = 30 * day

// expiryThresholds are the remaining times of a certificate below which a warning is logged, the longest first.
var expiryThresholds = []time.Duration{expiryWarning, 7 * day, day, 0}

// Expiry is the time until a pair expires.
type Expiry struct {
	Name      string        // name of the pair
	Remaining time.Duration // negative if the pair has expired
}

// threshold returns the last of expiryThresholds that the pair's remaining time is below, or expiryWarning if there is none.
func (e *Expiry) threshold() time.Duration {
	reached := expiryWarning
	for _, step := range expiryThresholds {
		if e.Remaining < step {
			reached = step
		}
	}
	return reached
}

// Expiring returns the pairs that have expired or expire within the given time, in the order in which they expire.
func (s *Set) Expiring(now time.Time, within time.Duration) (list []Expiry) {
	for name, p := range s.pairs {
		if remaining := p.NotAfter.Sub(now); remaining < within {
			list = append(list, Expiry{name, remaining})
		}
	}
	slices.SortFunc(list, func(a, b Expiry) int {
		return cmp.Or(cmp.Compare(a.Remaining, b.Remaining), strings.Compare(a.Name, b.Name))
	})
	return list
}

// formatDays formats a duration in whole days, or rounded to minutes if it is below two days.
func formatDays(d time.Duration) string {
	if d < 2*day {
		return d.Round(time.Minute).String()
	}
	return fmt.Sprintf("%d days", int(d/day))
}
