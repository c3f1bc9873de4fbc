package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// EventKind happened.
type EventKind uint8

// The kinds of events.
const (
	RequestSent      EventKind = iota // a client sent try ID to process Who, of class Class, and waits until By
	RequestAnswered                   // try ID got its final answer, Status; 0: none came
	AttemptArrived                    // try ID came to server Who
	EffectApplied                     // and took effect
	ServerOverloaded                  // server Who was pushed over
	DrainAnnounced                    // word that server Who drains (Over: serves again) was given to all processes
	OwnerAnswered                     // process Who, asked at By, answered as the owner of a work, by token Stamp
	FaultChanged                      // a fault of process Who began or ended
)

// Event is something that happened, at a time of the machine's monotonic clock since the record began.
type Event struct {
	At        time.Duration
	Kind      EventKind
	Party     int
	ID        string // of a try; what follows the last point is the try's number in its request
	Class     int
	Reference time.Duration
	Status    int
	Ended     bool
	Version   int // of the rules that an attempt was decided by; 0: it has none
}

// Record collects events. Its zero value is ready; its methods are safe for concurrent use.
type Record struct {
	mu     sync.Mutex
	zero   time.Time
	events []Event
}

// Begin sets the time that events count from; it is called once, before the first.
func (r *Record) Begin(at time.Time) { r.zero = at }

// Add books an event that happens now.
func (r *Record) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.zero)
	r.events = append(r.events, e)
}

// Since is the time on the record's clock.
func (r *Record) Since() time.Duration { return time.Since(r.zero) }

// Events gives all, in the order of their times.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Clone(r.events)
	slices.SortStableFunc(list, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	return list
}

// Rules are what a record is judged by.
type Rules struct {
	NotIdempotent []bool        // by class: no effect twice, over all tries of a request
	DrainGrace    time.Duration // after word of a drain, in which new ones may still come
	Slack         time.Duration // of the machine: between what a process did and what others could see of it
	// LinksDelay tells that links may deliver late what was sent in time, so that what comes after the end of a
	// try or the grace of a drain says nothing of the process that sent it.
	LinksDelay bool
}

// Finding is a broken rule.
type Finding struct {
	Rule  string
	At    time.Duration
	ID    string
	Party int
	// Timing tells that the finding rests on when things were seen: on a machine that was late itself it says nothing.
	Timing  bool
	History []Event // of all tries of its request
}

func (f Finding) String() string {
	return fmt.Sprintf("%v: %s (try %s, %d)", f.At.Round(time.Millisecond), f.Rule, f.ID, f.Party)
}

// request is the part of a try's id that its request's other tries have too.
func request(id string) string {
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] == '.' {
			return id[:i]
		}
	}
	return id
}

// CheckRequests reads what happened, in the order of the times, and gives the rules that were broken: a second final answer
// to a try, an attempt that came after its client's time, an effect that happened twice, an attempt at a server past
// its drain's grace, a cold server pushed over. It knows nothing of the program.
func CheckRequests(events []Event, rules Rules) (found []Finding) {
	type try struct {
		class    int
		by       time.Duration
		answered int
	}
	tries, ran, drains := map[string]*try{}, map[string]int{}, map[int]time.Duration{}
	say := func(e *Event, rule string) {
		found = append(found, Finding{Rule: rule, At: e.At, ID: e.ID, Party: e.Party})
	}
	late := func(e *Event, rule string) {
		found = append(found, Finding{Rule: rule, At: e.At, ID: e.ID, Party: e.Party, Timing: true})
	}
	for i := range events {
		e := &events[i]
		t := tries[e.ID]
		switch e.Kind {
		case RequestSent:
			tries[e.ID] = &try{class: e.Class, by: e.Reference}
		case RequestAnswered:
			if t == nil {
				say(e, "an answer to what nobody asked")
			} else if t.answered++; t.answered > 1 {
				say(e, "a second final answer")
			}
		case AttemptArrived:
			if t == nil {
				say(e, "an attempt of what nobody asked")
				continue
			}
			if e.At > t.by+rules.Slack && !rules.LinksDelay {
				late(e, "an attempt after its client's time")
			}
			if at, ok := drains[e.Party]; ok && e.At > at+rules.DrainGrace+rules.Slack && !rules.LinksDelay {
				late(e, "an attempt at a server that drains")
			}
		case EffectApplied:
			if t == nil || !rules.NotIdempotent[t.class] {
				continue
			}
			if ran[request(e.ID)]++; ran[request(e.ID)] > 1 {
				say(e, "an effect that happened twice")
			}
		case ServerOverloaded:
			late(e, "a cold server pushed over")
		case DrainAnnounced:
			if e.Ended {
				delete(drains, e.Party)
			} else if _, ok := drains[e.Party]; !ok {
				drains[e.Party] = e.At
			}
		}
	}
	for i := range found[:min(len(found), maxHistories)] {
		for _, e := range events {
			if e.ID != "" && request(e.ID) == request(found[i].ID) {
				found[i].History = append(found[i].History, e)
			}
		}
	}
	return found
}

// maxHistories is how many findings are given with their requests' histories.
const maxHistories = 20
