package adminstate

import "time"

const (
	// DuckNotice is how long after the call connections still come: the front asks ten times
	// a second and sends new ones on for 0.2 s after a no; the rest is slack.
	DuckNotice = 600 * time.Millisecond
	// DuckIdle is how long after the call idle connections are closed, so that whoever used them
	// last has had an answer that says so: a close then crosses few requests.
	DuckIdle = 1200 * time.Millisecond
)

// Duck says what a node that is emptied does with its clients' connections. Its zero value is
// a node at work.
type Duck struct {
	lame  bool
	since time.Duration
}

// Begin empties the node; again: nothing, so that a second call does not begin anew.
func (d *Duck) Begin(now time.Duration) {
	if !d.lame {
		d.lame, d.since = true, now
	}
}

// End takes the node back to work, at whatever point of the emptying.
func (d *Duck) End() { d.lame = false }

// Ready tells whether the node may say that it takes clients.
func (d *Duck) Ready() bool { return !d.lame }

// CloseIdle tells whether connections between two requests are closed now.
func (d *Duck) CloseIdle(now time.Duration) bool { return d.lame && now >= d.since+DuckIdle }
