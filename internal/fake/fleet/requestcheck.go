package fleet

import (
	"strings"
	"time"
)

// maxHistories is how many findings get the history of their requests.
const maxHistories = 20

// Rules are what CheckRequests checks by.
type Rules struct {
	NotIdempotent []bool        // by class: at most one effect over all tries of a request
	DrainGrace    time.Duration // after DrainAnnounced, in which attempts may still come
	Slack         time.Duration // between what a process did and what others saw of it
	// LinksDelay reports that links may have delivered late what was sent in time, so that an attempt after its
	// deadline or at a server that drains is no fault of the process that sent it.
	LinksDelay bool
}

// requestCheck is the state of CheckRequests.
type requestCheck struct {
	rules   Rules
	tries   map[string]*clientTry
	effects map[string]int        // by request
	drains  map[int]time.Duration // when a server's drain was announced
	found   []Finding
}

// clientTry is a client's try of a request.
type clientTry struct {
	class    int
	deadline time.Duration
	answers  int
}

// CheckRequests checks events, in order of time, and returns the rules that were broken: a second final answer of a
// try, an attempt after its client's deadline, an effect that happened twice, an attempt at a server after its drain's
// grace, a server that was overloaded while it warmed up.
func CheckRequests(events []Event, rules Rules) []Finding {
	c := &requestCheck{
		rules:   rules,
		tries:   map[string]*clientTry{},
		effects: map[string]int{},
		drains:  map[int]time.Duration{},
	}
	for i := range events {
		c.check(&events[i])
	}
	addHistories(c.found, events)
	return c.found
}

func (c *requestCheck) check(e *Event) {
	t := c.tries[e.ID]
	switch e.Kind {
	case RequestSent:
		c.tries[e.ID] = &clientTry{class: e.Class, deadline: e.Reference}
	case RequestAnswered:
		if t == nil {
			c.add(finding(e, "an answer to what nobody asked"))
		} else if t.answers++; t.answers > 1 {
			c.add(finding(e, "a second final answer"))
		}
	case AttemptArrived:
		c.checkAttempt(e, t)
	case EffectApplied:
		if t == nil || !c.rules.NotIdempotent[t.class] {
			return
		}
		request := requestOf(e.ID)
		if c.effects[request]++; c.effects[request] > 1 {
			c.add(finding(e, "an effect that happened twice"))
		}
	case ServerOverloaded:
		c.add(timingFinding(e, "a cold server pushed over"))
	case DrainAnnounced:
		if e.Ended {
			delete(c.drains, e.Party)
		} else if _, ok := c.drains[e.Party]; !ok {
			c.drains[e.Party] = e.At
		}
	}
}

func (c *requestCheck) checkAttempt(e *Event, t *clientTry) {
	if t == nil {
		c.add(finding(e, "an attempt of what nobody asked"))
		return
	}
	if c.rules.LinksDelay {
		return
	}
	if e.At > t.deadline+c.rules.Slack {
		c.add(timingFinding(e, "an attempt after its client's time"))
	}
	if at, ok := c.drains[e.Party]; ok && e.At > at+c.rules.DrainGrace+c.rules.Slack {
		c.add(timingFinding(e, "an attempt at a server that drains"))
	}
}

func (c *requestCheck) add(f Finding) { c.found = append(c.found, f) }

// addHistories adds the histories of their requests to the first findings.
func addHistories(found []Finding, events []Event) {
	for i := range found[:min(len(found), maxHistories)] {
		for _, e := range events {
			if e.ID != "" && requestOf(e.ID) == requestOf(found[i].ID) {
				found[i].History = append(found[i].History, e)
			}
		}
	}
}

// requestOf is the ID of a try's request.
func requestOf(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[:i]
	}
	return id
}
