package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// tailFactor is how much larger draws of a Spread's tail are.
const tailFactor = 10

// Spread is a distribution of factors: lognormal with a mean of 1, apart from its tail.
type Spread struct {
	CV float64 // coefficient of variation
	// TailProbability is the fraction of draws that are ten times as large.
	TailProbability float64
	// Exponential draws from an exponential distribution with a mean of 1 instead; the other fields don't count.
	Exponential bool
}

// Draw returns a factor.
func (s Spread) Draw(rng *rand.Rand) float64 {
	if s.Exponential {
		return rng.ExpFloat64()
	}
	variance := math.Log(1 + s.CV*s.CV) // of the factor's logarithm
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

// Curve is linear between its points, whose times increase. Before the first and after the last it is constant. An
// empty one is 1.
type Curve []Point

// Value returns the curve's value at a time.
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

// Max returns the curve's highest value.
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

// NextArrival draws the next arrival of a Poisson process with a rate per second times the curve, by thinning (Lewis
// and Shedler, 1979). It returns false if there is none before end.
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
