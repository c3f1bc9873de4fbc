package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Difference is how much more service b gave than a, seed by seed, with the bounds of a 95 % confidence
// interval by bootstrap over the seeds (Efron, 1979).
type Difference struct{ Mean, Low, High float64 }

// Seen tells whether there is one.
func (d Difference) Seen() bool { return d.Low > 0 || d.High < 0 }

func (d Difference) String() string {
	if !d.Seen() {
		return fmt.Sprintf("no difference seen (%+.4f, from %+.4f to %+.4f)", d.Mean, d.Low, d.High)
	}
	return fmt.Sprintf("%+.4f (from %+.4f to %+.4f)", d.Mean, d.Low, d.High)
}

// Compare pairs two outcomes of the same seeds.
func Compare(a, b *Outcome) Difference {
	diff := make([]float64, len(a.Seeds))
	mean := 0.0
	for i := range diff {
		diff[i] = b.Seeds[i].Service() - a.Seeds[i].Service()
		mean += diff[i] / float64(len(diff))
	}
	const draws = 4000
	rng := rand.New(rand.NewPCG(1, 2))
	means := make([]float64, draws)
	for i := range means {
		for range diff {
			means[i] += diff[rng.IntN(len(diff))] / float64(len(diff))
		}
	}
	slices.Sort(means)
	return Difference{mean, means[draws*25/1000], means[draws*975/1000]}
}
