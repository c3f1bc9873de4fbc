package lab

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"yokestall/internal/fleetsim"
)

// Outcome is what became of an experiment with one way to decide.
type Outcome struct {
	Who   string
	Seeds []*fleetsim.Result
}

// Service is the mean over the seeds.
func (o *Outcome) Service() float64 {
	sum := 0.0
	for _, r := range o.Seeds {
		sum += r.Service()
	}
	return sum / float64(len(o.Seeds))
}

// Broken tells which rules were, over all seeds.
func (o *Outcome) Broken() (list []string) {
	for i, r := range o.Seeds {
		for _, b := range r.Broken() {
			list = append(list, fmt.Sprintf("seed %d: %s", i, b))
		}
	}
	slices.Sort(list)
	return list
}

// Counts gives how many requests were asked, how many ended in any way, and how many in time.
func (o *Outcome) Counts() (asked, ended, inAim int64) {
	for _, r := range o.Seeds {
		for _, t := range r.Classes {
			asked, inAim = asked+t.Asked, inAim+t.InAim
			ended += t.InAim + t.Late + t.Refused + t.Failed
		}
	}
	return asked, ended, inAim
}

// Digest tells results apart: the same day with the same seeds has the same one.
func (o *Outcome) Digest() string {
	h := sha256.New()
	for _, r := range o.Seeds {
		fmt.Fprint(h, r.Sends, r.Copies, r.Strays, r.Twice, r.Fallen, r.Events, r.Seconds)
		for _, t := range r.Classes {
			fmt.Fprint(h, t.Asked, t.InAim, t.Late, t.Refused, t.Failed, t.Worth, t.Times.ValueAtQuantile(99))
		}
	}
	return fmt.Sprintf("%x", h.Sum(nil)[:6])
}
