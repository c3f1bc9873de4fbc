package lab

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"yokestall/internal/fleetsim"
)

// digestBytes is the number of bytes of the hash that a digest shows.
const digestBytes = 6

// Outcome holds the results of an experiment with one decider, one for each seed.
type Outcome struct {
	Name  string
	Seeds []*fleetsim.Result // by index of the seed; at least one
}

// Service returns the mean service over the seeds.
func (o *Outcome) Service() float64 {
	sum := 0.0
	for _, r := range o.Seeds {
		sum += r.Service()
	}
	return sum / float64(len(o.Seeds))
}

// Violations returns the rules that were violated in any seed, each with the index of the seed, sorted.
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

// Counts returns the numbers of requests, of final answers, and of answers within the latency objective, over all seeds
// and classes. Rejections and failures count as final answers.
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

// Digest returns a short hash of the results. Two runs of the same day with the same seeds and decider have the same
// digest.
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
