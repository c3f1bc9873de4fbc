package tlskeys

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

const day = 24 * time.Hour

// expiryWarning is how long before its end a certificate is warned about first.
const expiryWarning = 30 * day

// expiryThresholds are the times before a certificate's end at which a warning is logged, the longest first.
var expiryThresholds = []time.Duration{expiryWarning, 7 * day, day, 0}

// Expiry is the time that a pair has left.
type Expiry struct {
	Name      string // the pair's
	Remaining time.Duration
}

// threshold returns the last of expirySteps that the pair has reached.
func (e *Expiry) threshold() time.Duration {
	reached := expiryWarning
	for _, step := range expiryThresholds {
		if e.Remaining < step {
			reached = step
		}
	}
	return reached
}

// Expiring returns the pairs that end within a time, the first to end first.
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

// formatDays formats a time in days, or in hours and minutes if it is under two days.
func formatDays(d time.Duration) string {
	if d < 2*day {
		return d.Round(time.Minute).String()
	}
	return fmt.Sprintf("%d days", int(d/day))
}
