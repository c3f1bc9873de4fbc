package model

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Arrivals must follow their curve. In each tenth of the period, the number of arrivals must match the integral of the
// curve within 5 standard errors.
func TestArrivals(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	c := Curve{{0, 1}, {50 * time.Second, 3}, {100 * time.Second, 0}}
	var count [10]float64
	next := func(now time.Duration) (time.Duration, bool) { return NextArrival(now, 100*time.Second, 100, c, rng) }
	for now, ok := next(0); ok; now, ok = next(now) {
		count[now/(10*time.Second)]++
	}
	for i, got := range count {
		want := 1000 * c.Value(time.Duration(i)*10*time.Second+5*time.Second)
		if math.Abs(got-want) > 5*math.Sqrt(want) {
			t.Errorf("tenth %d of the period: got %v arrivals, want %v", i, got, want)
		}
	}
}
