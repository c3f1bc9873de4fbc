package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// tailFactor is the factor by which values in the tail of a Spread are multiplied.
const tailFactor = 10

// Spread is a distribution of random factors. It is lognormal with a mean of 1, not counting the tail.
type Spread struct {
	CV float64 // coefficient of variation
	// TailProbability is the fraction of factors that are multiplied by 10 (tailFactor).
	TailProbability float64
	// Exponential selects an exponential distribution with a mean of 1. The other fields are then ignored.
	Exponential bool
}

// Draw returns a random factor.
func (s Spread) Draw(rng *rand.Rand) float64 {
	if s.Exponential {
		return rng.ExpFloat64()
	}
	variance := math.Log(1 + s.CV*s.CV) // variance of the logarithm of the factor
	factor := math.Exp(rng.NormFloat64()*math.Sqrt(variance) - variance/2)
	if s.TailProbability > 0 && rng.Float64() < s.TailProbability {
		factor *= tailFactor
	}
	return factor
}

// Point is a point of a curve.
type Point struct {
	At    time.Duration
	Value float64
}

// Curve is a function of time that is linear between its points, whose times must increase. The curve is constant before
// the first and after the last point. An empty curve has the value 1 everywhere.
type Curve []Point

// Value returns the value of the curve at the given time.
func (c Curve) Value(at time.Duration) float64 {
	if len(c) == 0 {
		return 1
	}
	for i, next := range c {
		if at >= next.At {
			continue
		}
		if i == 0 {
			return next.Value
		}
		last := c[i-1]
		return last.Value + (next.Value-last.Value)*float64(at-last.At)/float64(next.At-last.At)
	}
	return c[len(c)-1].Value
}

// Max returns the highest value of the curve.
func (c Curve) Max() float64 {
	if len(c) == 0 {
		return 1
	}
	highest := c[0].Value
	for _, p := range c {
		highest = max(highest, p.Value)
	}
	return highest
}

// NextArrival returns the random time of the next arrival in a Poisson process. The arrival rate, per second, is rate times
// the value of the curve. NextArrival uses thinning (Lewis and Shedler, 1979). It returns false if there is no arrival
// before end.
func NextArrival(now, end time.Duration, rate float64, c Curve, rng *rand.Rand) (time.Duration, bool) {
	highest := rate * c.Max()
	if highest <= 0 {
		return 0, false
	}
	for {
		now += max(1, time.Duration(rng.ExpFloat64()/highest*float64(time.Second)))
		if now >= end {
			return 0, false
		}
		if rng.Float64()*highest <= rate*c.Value(now) {
			return now, true
		}
	}
}
