package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// turns says when a list that has to be asked for is asked for again after a failure: when the module
// says so, whose waits grow, and at the latest after a rest that does not grow.
type turns struct {
	wanted <-chan struct{}                  // the module's signal
	rest   func(draw float64) time.Duration // the longest wait

	pending bool             // the module was told of a failure, and its signal for that is still to come
	latest  <-chan time.Time // nil before the first failure: the module alone says when
}

// wait waits for the turn, or for the end of ctx.
func (t *turns) wait(ctx context.Context) {
	select {
	case <-t.wanted:
		t.pending = false
	case <-t.latest:
	case <-ctx.Done():
	}
}

// failed begins a rest, and tells whether the module is to be told of the failure: each time that it is
// told it signals once, and more than one signal to come would add up while discovery is away.
func (t *turns) failed() (tell bool) {
	t.latest = time.After(t.rest(rand.Float64()))
	select {
	case <-t.wanted: // of before the failure
		t.pending = false
	default:
	}
	tell = !t.pending
	t.pending = true
	return tell
}
