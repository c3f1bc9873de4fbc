// Package gracefulclose tells when a listening socket may be closed: connections that the kernel has taken
// for it, and what lies in them, are reset with it. Turn is pure; Await and Listener look at the clock.
package gracefulclose

import (
	"net"
	"sync"
	"time"
)

const (
	// Look is how often a process that is about to close its socket looks at the time.
	Look = 10 * time.Millisecond
	// late is a look so late that others of the process may have waited as long: what lies in the
	// socket's queue then has not had its turn.
	late = 3 * Look
	calm = 3
	// most is how long a process that is late again and again waits before it closes all the same.
	most = 500 * time.Millisecond
)

// Turn counts looks in a row that were in time. The zero value has seen none.
type Turn struct{ calm int }

// Look takes a look that came so long after the one before it, and tells whether whatever waits in
// the kernel has had its turn.
func (t *Turn) Look(took time.Duration) (had bool) {
	if took > late {
		t.calm = 0
	} else {
		t.calm++
	}
	return t.calm >= calm
}

// Await returns when whatever waited in the kernel had its turn, or after half a second.
func Await() {
	var t Turn
	for began, before := time.Now(), time.Now(); time.Since(began) < most; {
		time.Sleep(Look)
		now := time.Now()
		if t.Look(now.Sub(before)) {
			return
		}
		before = now
	}
}

// Listener gives a listener whose Close awaits the turn of what waits in it, the first time.
func Listener(l net.Listener) net.Listener { return &listener{Listener: l} }

type listener struct {
	net.Listener
	await sync.Once
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.await.Do(Await)
	return l.Listener.Close()
}
