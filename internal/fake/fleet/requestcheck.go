package fleet

import (
	"strings"
	"time"
)

// maxHistories is the number of findings that get the history of their request.
const maxHistories = 20

// Rules are the parameters of CheckRequests.
type Rules struct {
	NotIdempotent []bool        // by class: whether all tries of a request together may have at most one effect
	DrainGrace    time.Duration // how long after DrainAnnounced attempts may still arrive
	Slack         time.Duration // allowance for the time between an action of a process and its observation
	// LinksDelay reports that links may have delivered late what was sent in time. An attempt after its deadline or at
	// a server that is draining is then not the fault of the process that sent it, and CheckRequests allows it.
	LinksDelay bool
}

// requestCheck is the state of a CheckRequests call.
type requestCheck struct {
	rules   Rules
	tries   map[string]*clientTry
	effects map[string]int        // number of effects by request ID, of classes that are not idempotent
	drains  map[int]time.Duration // time of the drain's announcement by draining server
	found   []Finding
}

// clientTry is one sending of a request by a client.
type clientTry struct {
	class    int
	deadline time.Duration
	answers  int
}

// CheckRequests checks events, in order of time, and returns the violations: a second final answer to a try, an answer
// to or an attempt of a try that no client sent, an attempt after the client's deadline, a second effect of a request
// that is not idempotent, an attempt at a draining server after DrainGrace, and a server that was overloaded while it
// was warming up.
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
			c.add(finding(e, "a final answer to a try that no client sent"))
		} else if t.answers++; t.answers > 1 {
			c.add(finding(e, "a second final answer to a try"))
		}
	case AttemptArrived:
		c.checkAttempt(e, t)
	case EffectApplied:
		if t == nil || !c.rules.NotIdempotent[t.class] {
			return
		}
		request := requestID(e.ID)
		if c.effects[request]++; c.effects[request] > 1 {
			c.add(finding(e, "a second effect of a request that is not idempotent"))
		}
	case ServerOverloaded:
		c.add(timingFinding(e, "a server overloaded while it was warming up"))
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
		c.add(finding(e, "an attempt of a try that no client sent"))
		return
	}
	if c.rules.LinksDelay {
		return
	}
	if e.At > t.deadline+c.rules.Slack {
		c.add(timingFinding(e, "an attempt after its client's deadline"))
	}
	if at, ok := c.drains[e.Party]; ok && e.At > at+c.rules.DrainGrace+c.rules.Slack {
		c.add(timingFinding(e, "an attempt at a server that drains"))
	}
}

func (c *requestCheck) add(f Finding) { c.found = append(c.found, f) }

// addHistories sets History of the first maxHistories findings.
func addHistories(found []Finding, events []Event) {
	for i := range found[:min(len(found), maxHistories)] {
		for _, e := range events {
			if e.ID != "" && requestID(e.ID) == requestID(found[i].ID) {
				found[i].History = append(found[i].History, e)
			}
		}
	}
}

// requestID returns the ID of the request that the try with the given ID belongs to.
func requestID(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[:i]
	}
	return id
}
