package discovery

import "time"

// Terms say how the calls to one discovery are timed. A call asks discovery to wait for news; one
// that is not answered when its wait is over is in doubt, and a second look is made beside it: the
// call may have fallen silent, and what it misses counts as told after a while all the same.
type Terms struct {
	Wait    time.Duration // what a call asks discovery to wait
	Doubt   time.Duration // behind its wait, after which a call is in doubt
	Patient time.Duration // behind its wait, after which it is given up
	Again   time.Duration // between the looks that are made while a call is in doubt
	Look    time.Duration // after which a look is given up
	Most    int           // calls at a time, looks included; at least 2
	Pace    Pace          // after a failure
	// MostRest is the longest time between a question that failed and the next one, whatever else
	// says when to ask.
	MostRest time.Duration
	// Start is how long a process waits for its first answer before it serves by the list that
	// it was given, and Ready how long until it calls itself ready by that.
	Start, Ready time.Duration
}

const (
	// askedWait is long, since a call is paid for by all nodes. What a silent one misses counts as
	// told 6 s after discovery had it and could be reached, which may be right behind the call's
	// begin (the protocol's figures): a second look has 0.3 s until then, and 0.8 s until the time
	// that is allowed for a call that waits, 2 s after its wait.
	askedWait  = 4500 * time.Millisecond
	askedDoubt = 1200 * time.Millisecond
	// askedQueue is longer than calls wait for their turn at discovery.
	askedQueue = 2500 * time.Millisecond
	// askedRest keeps the news within 6 s of discovery's return (the protocol's figure): a call may
	// have fallen silent just before and takes askedQueue to be given up, and the next one waits for
	// its turn for up to 2 s.
	askedRest = 1500 * time.Millisecond
	// An agent answers at once: what takes longer is due to this machine.
	leastLook = 10 * time.Millisecond
	mostLook  = 250 * time.Millisecond
	lookLives = 100 * time.Millisecond
	mostCalls = 8
	agentDies = 2 * time.Second
	// agentStart is how long a node whose agent is silent holds its start back. Longer would
	// leave a fleet that has just lost its discovery, and some of its nodes, with those nodes away.
	agentStart = time.Second
)

// Pushed gives the terms where the address is an agent's on the node's own machine, which answers
// at once and at no cost. What it has counts as told whether or not a call is open, so that a call
// that is not heard of must be found out within the grace of drains: three quarters of it are
// used, and the rest is for what was decided before.
func Pushed(grace time.Duration) Terms {
	look := min(max(grace/4, leastLook), mostLook)
	return Terms{
		Wait: 2 * look, Doubt: look, Patient: agentDies, Again: look, Look: max(lookLives, 4*look), Most: mostCalls,
		Pace: Pace{First: min(5*time.Millisecond, look), Most: look}, MostRest: look,
		Start: 2 * look, Ready: agentStart,
	}
}

// Asked gives the terms where calls load a discovery that all nodes share.
func Asked() Terms {
	return Terms{
		Wait: askedWait, Doubt: askedDoubt, Patient: askedQueue, Again: askedQueue, Look: askedQueue, Most: 2,
		Pace: Pace{First: 250 * time.Millisecond, Most: time.Second}, MostRest: askedRest,
	}
}

// Rest gives the longest time until the question behind one that failed; draw is from 0 to 1 and
// spreads it from half of MostRest to the whole: nodes that failed together must not come in step.
func (t Terms) Rest(draw float64) time.Duration {
	return time.Duration(float64(t.MostRest) * (0.5 + draw/2))
}

// Calls says when a further call is made beside one that is open, and how long each may take. It
// is about one question: with its answer, or when all calls have failed, it is over.
type Calls struct {
	terms Terms
	next  time.Duration // from the question's begin, when the next look is made
	out   int
}

// Ask begins a question whose first call asks discovery to wait for so long, and gives how long
// that call may take.
func (t Terms) Ask(wait time.Duration) (c Calls, takes time.Duration) {
	return Calls{terms: t, next: wait + t.Doubt, out: 1}, wait + t.Patient
}

// Next is when the next look is due, from the question's begin.
func (c *Calls) Next() time.Duration { return c.next }

// Due tells whether a look is to be made now, and sets when the next one is due. now counts from
// the question's begin. One that is not due or has no place is not made.
func (c *Calls) Due(now time.Duration) bool {
	if now < c.next {
		return false
	}
	c.next = now + c.terms.Again
	if c.out == c.terms.Most {
		return false
	}
	c.out++
	return true
}

// Failed takes a call out that failed, and tells whether it was the last one.
func (c *Calls) Failed() (last bool) {
	c.out--
	return c.out == 0
}
