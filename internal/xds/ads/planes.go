package ads

import (
	"math"
	"time"
)

// Backoff says when control planes are called again.
type Backoff struct {
	Base   time.Duration // the first wait
	Max    time.Duration // the longest
	Prefer time.Duration // a plane that is not the first is left for another look after this
}

const (
	backoffFactor = 1.6
	backoffJitter = 0.2 // of a wait, to both sides
)

// Planes chooses among control planes in their order of preference. It is pure.
//
// One that answered is called again first; one that did not is followed by the next. When
// all were tried in vain, or streams break soon after they were opened, waits grow.
type Planes struct {
	count    int
	backoff  Backoff
	at       int // the plane in use, or to be called next
	tried    int // planes tried in vain since one answered or the last wait
	failures int // waits since a stream lasted
	opened   time.Duration
	answered bool
}

// NewPlanes makes a choice among so many control planes, 1 or more.
func NewPlanes(count int, b Backoff) *Planes { return &Planes{count: count, backoff: b} }

// Opened tells that a stream to the plane At was opened.
func (p *Planes) Opened(now time.Duration) { p.opened, p.answered = now, false }

// Answered tells that the stream brought a response.
func (p *Planes) Answered() { p.answered, p.tried = true, 0 }

// At is the plane in use, or to be called next: an index in order of preference.
func (p *Planes) At() int { return p.at }

// Failed tells that the stream broke, stayed silent, or could not be opened. It gives how
// long to wait; draw is evenly spread from 0 to below 1.
func (p *Planes) Failed(now time.Duration, draw float64) (wait time.Duration) {
	if p.answered {
		if now-p.opened >= p.backoff.Max {
			p.failures = 0
		}
		p.answered = false
		return p.next(draw)
	}
	p.at = (p.at + 1) % p.count
	if p.tried++; p.tried < p.count {
		return 0
	}
	p.tried = 0
	return p.next(draw)
}

func (p *Planes) next(draw float64) time.Duration {
	wait := float64(p.backoff.Base) * math.Pow(backoffFactor, float64(p.failures))
	if wait < float64(p.backoff.Max) {
		p.failures++
	}
	wait = min(wait, float64(p.backoff.Max))
	return time.Duration(wait * (1 + backoffJitter*(2*draw-1)))
}

// Return tells whether it is time to look whether a plane of higher preference is back;
// At is the first one then, and the stream had better be closed.
func (p *Planes) Return(now time.Duration) bool {
	if p.at == 0 || !p.answered || now-p.opened < p.backoff.Prefer {
		return false
	}
	p.at, p.answered = 0, false
	return true
}
