package h2flood

import (
	"fmt"
	"time"
)

// Limits are those of a connection; 0 is none. A rate may be exceeded for BurstWindow: what a usual client does at once
// (leaving a page resets all of its streams) is no flood.
type Limits struct {
	// ResetsPerSecond limits RST_STREAM frames in both directions: a client that has the server reset its streams is no
	// better. Those with NO_ERROR end an early answer (RFC 9113, 8.1) and don't count.
	ResetsPerSecond int
	// ControlFramesPerSecond limits the client's frames that carry no request: PING, SETTINGS, PRIORITY, unknown ones,
	// empty DATA, and WINDOW_UPDATE beyond one for each bytesPerWindowUpdate that were sent to it.
	ControlFramesPerSecond int
	// ContinuationsPerBlock limits the CONTINUATION frames of one field block.
	ContinuationsPerBlock int
}

// BurstWindow is the time whose frames, at the limit of a rate, may come at once.
const BurstWindow = 5 * time.Second

const (
	// bytesPerWindowUpdate is the number of bytes sent to a client that allow it one WINDOW_UPDATE.
	bytesPerWindowUpdate = 256
	// maxUpdateCredit bounds the bytes that are remembered for WINDOW_UPDATE; a single write may exceed it.
	maxUpdateCredit = 1 << 30
	// prefaceBytes is the length of what a client sends ahead of its first frame (RFC 9113, 3.4).
	prefaceBytes = 24
)

// Flood is the error of a connection that has exceeded a limit.
type Flood struct {
	Kind  string // of frames, and the unit of Limit
	Limit int
}

// Error implements error.
func (f *Flood) Error() string { return fmt.Sprintf("h2guard: more than %d %s", f.Limit, f.Kind) }

// Guard counts the frames of one connection, in both directions. It is not safe for concurrent use.
type Guard struct {
	limits         Limits
	received, sent frameScanner
	resets         tokenBucket
	controlFrames  tokenBucket
	continuations  int // in the current field block
	updateCredit   int // bytes sent that have not yet allowed a WINDOW_UPDATE
}

// New returns a guard that counts a connection from its start on, or from the end of the client's preface if that has
// been read.
func New(l Limits, now time.Duration, prefaceRead bool) *Guard {
	g := &Guard{
		limits:        l,
		resets:        newTokenBucket(l.ResetsPerSecond, now),
		controlFrames: newTokenBucket(l.ControlFramesPerSecond, now),
	}
	if !prefaceRead {
		g.received.skip = prefaceBytes
	}
	return g
}

// Received counts bytes that the client sent. An error is a *Flood: the connection has to be closed.
func (g *Guard) Received(now time.Duration, p []byte) error {
	return g.received.scan(p, func(f frame) error { return g.countReceived(now, f) })
}

// Sent counts bytes that were sent to the client. An error is a *Flood.
func (g *Guard) Sent(now time.Duration, p []byte) error {
	if g.updateCredit < maxUpdateCredit {
		g.updateCredit += len(p)
	}
	return g.sent.scan(p, func(f frame) error {
		if f.kind == rstStream {
			return g.countReset(now, f)
		}
		return nil
	})
}

// countReceived counts a frame of the client's.
func (g *Guard) countReceived(now time.Duration, f frame) error {
	switch f.kind {
	case headers:
		g.continuations = 0
		return nil
	case continuation:
		return g.countContinuation()
	case data:
		if f.length > 0 || f.flags&flagEndStream != 0 {
			return nil
		}
	case windowUpdate:
		if g.updateCredit >= bytesPerWindowUpdate {
			g.updateCredit -= bytesPerWindowUpdate
			return nil
		}
	case rstStream:
		return g.countReset(now, f)
	case settings, ping:
		if f.flags&flagAck != 0 { // there is one for each of the server's
			return nil
		}
	}
	return g.countControlFrame(now)
}

func (g *Guard) countContinuation() error {
	g.continuations++
	if g.limits.ContinuationsPerBlock > 0 && g.continuations > g.limits.ContinuationsPerBlock {
		return &Flood{"CONTINUATION frames in a block", g.limits.ContinuationsPerBlock}
	}
	return nil
}

func (g *Guard) countReset(now time.Duration, f frame) error {
	noError := f.length == errorCodeBytes && f.errorCode == 0
	if noError || g.limits.ResetsPerSecond == 0 || g.resets.take(now) {
		return nil
	}
	return &Flood{"RST_STREAM frames a second", g.limits.ResetsPerSecond}
}

func (g *Guard) countControlFrame(now time.Duration) error {
	if g.limits.ControlFramesPerSecond == 0 || g.controlFrames.take(now) {
		return nil
	}
	return &Flood{"control frames a second", g.limits.ControlFramesPerSecond}
}
