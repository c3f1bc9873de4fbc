package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

const (
	bootstrapDraws = 4000
	// The seed of the bootstrap's random numbers.
	bootstrapSeed, bootstrapSequence = 1, 2
)

// Difference is how much more service one outcome has than another one, seed by seed: the mean, and the bounds of its
// 95 % confidence interval.
type Difference struct{ Mean, Low, High float64 }

// Significant tells whether the interval leaves zero out.
func (d Difference) Significant() bool { return d.Low > 0 || d.High < 0 }

// String describes the difference in a line.
func (d Difference) String() string {
	if !d.Significant() {
		return fmt.Sprintf("no difference seen (%+.4f, from %+.4f to %+.4f)", d.Mean, d.Low, d.High)
	}
	return fmt.Sprintf("%+.4f (from %+.4f to %+.4f)", d.Mean, d.Low, d.High)
}

// Compare returns how much more service b has than a. Both are of the same seeds, which are paired; the interval is by
// bootstrap over the pairs (Efron, 1979).
func Compare(a, b *Outcome) Difference {
	differences := make([]float64, len(a.Seeds))
	mean := 0.0
	for i := range differences {
		differences[i] = b.Seeds[i].Service() - a.Seeds[i].Service()
		mean += differences[i] / float64(len(differences))
	}
	random := rand.New(rand.NewPCG(bootstrapSeed, bootstrapSequence))
	means := make([]float64, bootstrapDraws)
	for i := range means {
		for range differences {
			means[i] += differences[random.IntN(len(differences))] / float64(len(differences))
		}
	}
	slices.Sort(means)
	return Difference{Mean: mean, Low: means[bootstrapDraws*25/1000], High: means[bootstrapDraws*975/1000]}
}
