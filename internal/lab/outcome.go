package lab

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"yokestall/internal/fleetsim"
)

// digestBytes is how many bytes of a hash a digest shows.
const digestBytes = 6

// Outcome is the result of an experiment with one decider.
type Outcome struct {
	Name  string
	Seeds []*fleetsim.Result // at least one
}

// Service returns the mean over the seeds.
func (o *Outcome) Service() float64 {
	sum := 0.0
	for _, r := range o.Seeds {
		sum += r.Service()
	}
	return sum / float64(len(o.Seeds))
}

// Violations returns the rules that were broken in any seed, with the seed.
func (o *Outcome) Violations() []string {
	var list []string
	for i, r := range o.Seeds {
		for _, violation := range r.Violations() {
			list = append(list, fmt.Sprintf("seed %d: %s", i, violation))
		}
	}
	slices.Sort(list)
	return list
}

// Counts returns how many requests there were, how many of them have an answer, and how many of those are within the
// latency objective.
func (o *Outcome) Counts() (requests, answers, inObjective int64) {
	for _, r := range o.Seeds {
		for _, t := range r.Classes {
			requests += t.Requests
			answers += t.WithinObjective + t.Late + t.Rejected + t.Failed
			inObjective += t.WithinObjective
		}
	}
	return requests, answers, inObjective
}

// Digest returns a short hash of the results: it is the same for the same day with the same seeds.
func (o *Outcome) Digest() string {
	h := sha256.New()
	for _, r := range o.Seeds {
		fmt.Fprint(h, r.Attempts, r.ExtraAttempts, r.AttemptsAfterDrain, r.DuplicateEffects, r.OverloadedServers,
			r.Events, r.ServiceBySecond)
		for _, t := range r.Classes {
			fmt.Fprint(h, t.Requests, t.WithinObjective, t.Late, t.Rejected, t.Failed, t.EarnedWeight,
				t.Latencies.ValueAtQuantile(99))
		}
	}
	return fmt.Sprintf("%x", h.Sum(nil)[:digestBytes])
}
