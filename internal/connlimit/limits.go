package connlimit

import (
	"errors"
	"fmt"
)

// Limits are numbers of connections, 0 or more.
type Limits struct {
	// Active limits the connections on which something was received, those in the reserve included; at least 1.
	Active int
	// Reserve is the part of Active that idle connections leave to other clients; less than Active.
	Reserve int
	// New limits the connections on which nothing was received; at least 1.
	New int
	// Overflow limits the connections beyond Active that only get a response with Retry-After.
	Overflow int
}

// The least that Split can divide, in connections.
const (
	minPlaces      = 8
	minClientsPart = 4
)

// ErrTooFew says that there are too few descriptors for clients.
var ErrTooFew = errors.New("too few descriptors for client connections")

// Split divides places, the connections that a server may hold in all, among new, active and overflow
// connections. clientsPart is the most that may be active. The new ones get what it leaves of the places, and a
// sixth of them at least, for which the active ones give way. The error is ErrTooFew, below 8 places or a part of
// 4.
func Split(places, clientsPart int) (Limits, error) {
	if places < minPlaces || clientsPart < minClientsPart {
		return Limits{}, fmt.Errorf("%w: %d places and a clients' part of %d: %d and %d are the least",
			ErrTooFew, places, clientsPart, minPlaces, minClientsPart)
	}
	overflow := max(1, places/11)
	minNew := max(2, places/6)
	active := min(clientsPart, places-overflow-minNew)
	return Limits{
		Active: active, Reserve: max(1, active/16), New: places - overflow - active, Overflow: overflow,
	}, nil
}

// mustBeValid panics on limits that are out of range, which is a mistake of the program.
func (l Limits) mustBeValid() {
	if l.Active < 1 || l.Reserve < 0 || l.Reserve >= l.Active || l.New < 1 || l.Overflow < 0 {
		panic(fmt.Sprintf("connlimit: limits %+v", l))
	}
}
