package connlimit

import (
	"errors"
	"fmt"
)

// Limits are the limits of a Table, in connections.
type Limits struct {
	// Active limits the connections on which something was received, including those in the reserve but not the
	// overflow connections. It is at least 1.
	Active int
	// Reserve is the part of Active that is kept free of idle connections, for other clients. It is 0 or more and less
	// than Active.
	Reserve int
	// New limits the connections on which nothing was received. It is at least 1.
	New int
	// Overflow limits the connections beyond Active that only get a response with Retry-After. It is 0 or more.
	Overflow int
}

// The lowest arguments that Split accepts, in connections.
const (
	minTotal     = 8
	minMaxActive = 4
)

// ErrTooFew is returned by Split if there are too few descriptors for client connections.
var ErrTooFew = errors.New("too few descriptors for client connections")

// Split divides total, the number of connections that a server may hold in all, into the limits of new, active and
// overflow connections. maxActive is the upper limit of active connections. An eleventh of total, and at least 1, is for
// overflow connections. Active is reduced below maxActive where fewer than a sixth of total, or fewer than 2, would be
// left for new connections. New is the rest of total. Reserve is a sixteenth of Active, and at least 1. The error is
// ErrTooFew if total is below 8 or maxActive is below 4; its text assumes that the caller derived both from the limit of
// open files.
func Split(total, maxActive int) (Limits, error) {
	if total < minTotal || maxActive < minMaxActive {
		return Limits{}, fmt.Errorf(
			"%w: the limit of open files allows %d connections in total and %d active, need at least %d in total and %d active",
			ErrTooFew, total, maxActive, minTotal, minMaxActive)
	}
	overflow := max(1, total/11)
	minNew := max(2, total/6)
	active := min(maxActive, total-overflow-minNew)
	return Limits{
		Active: active, Reserve: max(1, active/16), New: total - overflow - active, Overflow: overflow,
	}, nil
}

// mustBeValid panics if a limit is out of its range, which is a programming error.
func (l Limits) mustBeValid() {
	if l.Active < 1 || l.Reserve < 0 || l.Reserve >= l.Active || l.New < 1 || l.Overflow < 0 {
		panic(fmt.Sprintf("connlimit: limits out of range: %+v", l))
	}
}
