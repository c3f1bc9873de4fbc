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
	RequestSent      EventKind = iota // a client sent a try of a request of Class to a process
	RequestAnswered                   // a client got the final answer of a try, with Status; 0 if it got none
	AttemptArrived                    // an attempt of a try arrived at a server
	EffectApplied                     // an attempt of a try had its effect at a server
	ServerOverloaded                  // a server was overloaded while it was warming up
	DrainAnnounced                    // all processes were notified that a server drains, or no longer does if Ended
	OwnerAnswered                     // a process answered as the owner of a singleton task
	FaultChanged                      // a fault of a process started, or ended if Ended; ID is the fault's kind
)

// Event is a recorded event of a run. A client sends a request in one or more tries, and a process sends each try to
// servers in one or more attempts.
type Event struct {
	At        time.Duration // monotonic time since the start of the record
	Kind      EventKind
	Party     int    // the index of the process or of the server
	ID        string // of a try: the ID of its request, ".", and the number of the try
	Class     int
	Reference time.Duration // RequestSent: the client's deadline; OwnerAnswered: the time at which the process was asked
	Status    int
	Ended     bool
	Version   int // AttemptArrived: the version that the process applied, 0: none; OwnerAnswered: the fencing token
}

// Record collects events. Its zero value needs only a call of Begin. Its other methods are safe for concurrent use.
type Record struct {
	mu     sync.Mutex
	zero   time.Time
	events []Event
}

// Begin sets the start of the record. It must be called once, before any other method.
func (r *Record) Begin(at time.Time) { r.zero = at }

// Add adds an event and sets its time to now.
func (r *Record) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.zero)
	r.events = append(r.events, e)
}

// Since returns the time since the start of the record.
func (r *Record) Since() time.Duration { return time.Since(r.zero) }

// Events returns a copy of all events in order of time.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Clone(r.events)
	slices.SortStableFunc(list, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	return list
}
