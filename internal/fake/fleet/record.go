package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// EventKind is a kind of event.
type EventKind uint8

// The kinds of events.
const (
	RequestSent      EventKind = iota // a client sent a try of Class to a process
	RequestAnswered                   // a process gave a try its final answer, Status; 0: the client got none
	AttemptArrived                    // an attempt of a try came to a server
	EffectApplied                     // and had its effect there
	ServerOverloaded                  // a server fell over while it warmed up
	DrainAnnounced                    // all processes got a server's drain, or its end if Ended
	OwnerAnswered                     // a process answered as the owner of a singleton task
	FaultChanged                      // a fault of a process, of the kind ID, began, or ended if Ended
)

// Event is something that happened.
type Event struct {
	At        time.Duration // on the monotonic clock, since the record began
	Kind      EventKind
	Party     int    // the process, or the server
	ID        string // of the try: its request's, a point, and its number in the request
	Class     int
	Reference time.Duration // RequestSent: the client's deadline; OwnerAnswered: when the process was asked
	Status    int
	Ended     bool
	Version   int // AttemptArrived: of the rules it was decided by, 0: none; OwnerAnswered: the fencing token
}

// Record collects events. Its zero value is ready; its methods are safe for concurrent use.
type Record struct {
	mu     sync.Mutex
	zero   time.Time
	events []Event
}

// Begin sets the time that events count from. It is called once, before any other method.
func (r *Record) Begin(at time.Time) { r.zero = at }

// Add adds an event that happens now.
func (r *Record) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.zero)
	r.events = append(r.events, e)
}

// Since is the present time on the record's clock.
func (r *Record) Since() time.Duration { return time.Since(r.zero) }

// Events returns all events by time.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Clone(r.events)
	slices.SortStableFunc(list, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	return list
}
