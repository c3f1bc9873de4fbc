// Package fairshare bounds what one client connection, and all busy connections together, take of a server from others. Each
// answer costs its connection a part of its share of the server's time, whatever was asked and whoever answered. A connection
// that has used up its share waits for its turn before its next request is served, so that the others are served meanwhile.
//
// The package is pure: it reads no clock, and times are durations since any origin.
package fairshare

import (
	"sync"
	"time"
)

// Cost is what an answer takes of a share.
type Cost uint8

// The costs of answers.
const (
	Forwarded Cost = iota // an endpoint has worked for the answer, and the client has waited for it
	Local                 // no endpoint has worked for the answer, so that the client can have the next one at once
)

const (
	// forwardedTime is what a Forwarded answer takes of its connection's time.
	forwardedTime = 20 * time.Microsecond
	// localTime is what a Local answer takes of its connection's time. A gateway's health checks take a tenth of it.
	localTime = 10 * time.Millisecond
	// burstTime is how far a connection may be ahead of its time.
	burstTime = time.Second
	// reserveFactor is the ratio of a connection's time to its reserve. An answer that the reserve covers takes nothing of
	// the time of all connections, so that an ordinary connection does not wait for others.
	reserveFactor = 10
	// sharedLocalTime and sharedForwardedTime are what an answer that the connection's reserve does not cover takes of the
	// time of all connections.
	sharedLocalTime     = 500 * time.Microsecond
	sharedForwardedTime = time.Microsecond
	// sharedBurstTime is how far all connections together may be ahead of their time.
	sharedBurstTime = 500 * time.Millisecond
	// maxWait is the longest wait for a turn.
	maxWait = 250 * time.Millisecond
)

// State is the state of a connection.
type State uint8

// The states of a connection.
const (
	WithinShare State = iota // its next request is served at once
	AwaitsTurn               // its next request is served after a wait
)

// Account is the account of one connection. The zero value is that of a new connection. It belongs to one Ledger.
type Account struct {
	paidUntil     time.Duration // time at which the connection has its whole burst again
	reservedUntil time.Duration // time at which it has its whole reserve again
	state         State
}

// Stats are the counts of a Ledger.
type Stats struct {
	Waits    int64         // number of waits for a turn so far
	WaitTime time.Duration // sum of these waits
	Waiting  int           // connections that are in the state AwaitsTurn
}

// Ledger holds what all connections of a server have taken together. The zero value is ready for use. It is safe for concurrent
// use, also with the Accounts.
type Ledger struct {
	mu        sync.Mutex
	paidUntil time.Duration // time at which all connections together have their whole burst again
	stats     Stats
}

// Charge counts an answer on a connection at now. It returns how long the connection has to wait for its turn, 0 if it does not
// have to. entered reports that the connection was within its share before.
func (l *Ledger) Charge(now time.Duration, a *Account, c Cost) (wait time.Duration, entered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own, shared := localTime, sharedLocalTime
	if c == Forwarded {
		own, shared = forwardedTime, sharedForwardedTime
	}
	a.paidUntil = max(a.paidUntil, now) + own
	wait = a.paidUntil - now - burstTime
	if reserved := max(a.reservedUntil, now) + reserveFactor*own; reserved-now <= burstTime {
		a.reservedUntil = reserved
	} else {
		l.paidUntil = max(l.paidUntil, now) + shared
		wait = max(wait, l.paidUntil-now-sharedBurstTime)
	}
	wait = min(max(0, wait), maxWait)
	entered = l.moveTo(a, wait)
	return wait, entered
}

// moveTo sets the state of a connection that has to wait, and counts it. It reports whether the connection was within its share
// before and is not now.
func (l *Ledger) moveTo(a *Account, wait time.Duration) (entered bool) {
	before := a.state
	a.state = WithinShare
	if wait > 0 {
		a.state = AwaitsTurn
		l.stats.Waits++
		l.stats.WaitTime += wait
	}
	l.stats.Waiting += int(a.state) - int(before)
	return a.state > before
}

// Close ends the account of a connection that has ended.
func (l *Ledger) Close(a *Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moveTo(a, 0)
}

// Stats returns the counts.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}
