package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

const (
	bootstrapDraws = 4000 // resampled means
	// The fixed seed of the bootstrap's random numbers makes comparisons repeatable.
	bootstrapSeed, bootstrapSequence = 1, 2
)

// Difference is the difference in service between two outcomes, paired by seed: its mean, and the bounds of the 95 %
// confidence interval of the mean.
type Difference struct{ Mean, Low, High float64 }

// Significant reports whether the confidence interval excludes zero.
func (d Difference) Significant() bool { return d.Low > 0 || d.High < 0 }

// String describes the difference in one line.
func (d Difference) String() string {
	if !d.Significant() {
		return fmt.Sprintf("no significant difference (%+.4f, from %+.4f to %+.4f)", d.Mean, d.Low, d.High)
	}
	return fmt.Sprintf("%+.4f (from %+.4f to %+.4f)", d.Mean, d.Low, d.High)
}

// Compare returns the service of b minus that of a. Both outcomes have the same seeds, which are paired. The confidence
// interval is computed by bootstrap over the pairs (Efron, 1979).
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
