package node

import (
	"time"

	"yokestall/internal/gracefulclose"
)

const (
	// frontNotice is how long connections are still dealt to a node that stops,
	// and how long none of its clients must have asked for it to stop early.
	frontNotice = 500 * time.Millisecond
	// stopSlack is what a stop may take beyond the longest deadline. The platform kills the
	// node 0.7 s after that, and counts a deadline of more than stopDeadline as that much
	// (the protocol's figures on planned restarts): a stop that waited for a longer one
	// would be cut off with all that is open.
	stopSlack    = 500 * time.Millisecond
	stopDeadline = 3 * time.Second
	// stopTail is the last part of a stop, in which nothing new is taken, and
	// stopAnswers the end of that, in which what is still open is answered.
	stopTail    = 300 * time.Millisecond
	stopAnswers = 50 * time.Millisecond
)

// stopPlan says when what happens in a stop. Its times count from the stop's begin.
type stopPlan struct {
	whole time.Duration // when the stop is over
}

func planStop(longestDeadline time.Duration) stopPlan {
	return stopPlan{min(longestDeadline, stopDeadline) + stopSlack}
}

// serves tells whether requests are still taken. The clients here may have no other node
// to go to: they are served for as long as they ask and the stop may take. asked is when
// a request was last taken; below 0 if that was before the stop.
func (p stopPlan) serves(now, asked time.Duration) bool {
	return now < p.whole-stopTail && now-max(0, asked) < frontNotice
}

// ending is what a stop knows while it serves on.
type ending struct {
	plan stopPlan
	turn gracefulclose.BacklogWatch // of what waits in the kernel, since nobody asks
}

// over takes a look that came so long after the one before it, and tells whether the listener may be
// closed: the plan has ended serving, and whatever waits in the kernel had its turn since.
func (e *ending) over(took, now, asked time.Duration) bool {
	if e.plan.serves(now, asked) {
		e.turn = gracefulclose.BacklogWatch{}
		return false
	}
	return e.turn.Poll(took) || now >= e.plan.abandons()
}

// idles is how long a client's connection may be idle in a process that hands over to a later
// one: such as long as most clients need to ask again, and short enough that all are through in time.
func (p stopPlan) idles() time.Duration { return p.whole / 3 }

// abandons is when what is open then gets its answer.
func (p stopPlan) abandons() time.Duration { return p.whole - stopAnswers }
