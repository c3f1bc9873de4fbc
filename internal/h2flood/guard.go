package h2flood

import (
	"fmt"
	"time"
)

// Limits are the limits of a connection. 0 means no limit. A rate may be exceeded in a burst, as BurstWindow says, because
// ordinary clients send many frames at once: leaving a page, for example, resets all of its streams.
type Limits struct {
	// ResetsPerSecond limits the RST_STREAM frames of both directions together, because a client can also make the server
	// reset its streams. Frames with the error code NO_ERROR are not counted: a server sends them to end an exchange that it
	// has answered early (RFC 9113, 8.1).
	ResetsPerSecond int
	// ControlFramesPerSecond limits the client's frames that carry no part of a request: PING and SETTINGS frames without
	// the ACK flag, empty DATA frames without END_STREAM, WINDOW_UPDATE frames beyond one for each bytesPerWindowUpdate
	// bytes that were sent to the client, and frames of other types, such as PRIORITY frames and those of unknown types.
	ControlFramesPerSecond int
	// ContinuationsPerBlock limits the number of CONTINUATION frames of one field block.
	ContinuationsPerBlock int
}

// BurstWindow determines the maximum burst: as many frames may arrive at once as a rate limit allows in this time.
const BurstWindow = 5 * time.Second

const (
	// bytesPerWindowUpdate is the number of bytes that must be sent to a client for each uncounted WINDOW_UPDATE frame.
	bytesPerWindowUpdate = 256
	// maxWindowUpdateCredit is the value of Guard.windowUpdateCredit, in bytes, from which sent bytes no longer add to it. A
	// single write may exceed it.
	maxWindowUpdateCredit = 1 << 30
	// prefaceBytes is the length of the connection preface that a client sends before its first frame (RFC 9113, 3.4).
	prefaceBytes = 24
)

// Flood is the error for a connection that has exceeded a limit.
type Flood struct {
	Kind  string // kind of frames and the unit of Limit, such as "RST_STREAM frames per second"
	Limit int    // the limit that was exceeded
}

// Error implements error.
func (f *Flood) Error() string { return fmt.Sprintf("h2flood: more than %d %s", f.Limit, f.Kind) }

// Guard counts the frames of one connection, in both directions. Create it with New. A Guard is not safe for concurrent use.
type Guard struct {
	limits         Limits
	received, sent frameScanner
	resets         tokenBucket
	controlFrames  tokenBucket
	continuations  int // number of CONTINUATION frames in the current field block
	// windowUpdateCredit is the number of bytes sent to the client, up to about maxWindowUpdateCredit, less
	// bytesPerWindowUpdate for each uncounted WINDOW_UPDATE frame.
	windowUpdateCredit int
}

// New returns a Guard for a connection. Its first bytes are those at the start of the connection or, if prefaceRead is set,
// those after the client's connection preface.
func New(l Limits, now time.Duration, prefaceRead bool) *Guard {
	g := &Guard{
		limits:        l,
		resets:        newTokenBucket(l.ResetsPerSecond, now),
		controlFrames: newTokenBucket(l.ControlFramesPerSecond, now),
	}
	if !prefaceRead {
		g.received.bytesToSkip = prefaceBytes
	}
	return g
}

// Received counts the frames in bytes that the client sent. It returns a *Flood if a limit is exceeded, and the caller must
// then close the connection.
func (g *Guard) Received(now time.Duration, p []byte) error {
	return g.received.scan(p, func(f frame) error { return g.countReceived(now, f) })
}

// Sent counts the frames in bytes that were sent to the client. It returns a *Flood if a limit is exceeded, and the caller
// must then close the connection.
func (g *Guard) Sent(now time.Duration, p []byte) error {
	if g.windowUpdateCredit < maxWindowUpdateCredit {
		g.windowUpdateCredit += len(p)
	}
	return g.sent.scan(p, func(f frame) error {
		if f.kind == frameRSTStream {
			return g.countReset(now, f)
		}
		return nil
	})
}

// countReceived counts a frame that the client sent, against the limit for its type.
func (g *Guard) countReceived(now time.Duration, f frame) error {
	switch f.kind {
	case frameHeaders:
		g.continuations = 0
		return nil
	case frameContinuation:
		return g.countContinuation()
	case frameData:
		if f.length > 0 || f.flags&flagEndStream != 0 {
			return nil
		}
	case frameWindowUpdate:
		if g.windowUpdateCredit >= bytesPerWindowUpdate {
			g.windowUpdateCredit -= bytesPerWindowUpdate
			return nil
		}
	case frameRSTStream:
		return g.countReset(now, f)
	case frameSettings, framePing:
		if f.flags&flagAck != 0 { // an acknowledgement of a SETTINGS or PING frame of the server
			return nil
		}
	}
	return g.countControlFrame(now)
}

// countContinuation counts a CONTINUATION frame of the client.
func (g *Guard) countContinuation() error {
	g.continuations++
	if g.limits.ContinuationsPerBlock > 0 && g.continuations > g.limits.ContinuationsPerBlock {
		return &Flood{"CONTINUATION frames per field block", g.limits.ContinuationsPerBlock}
	}
	return nil
}

// countReset counts a RST_STREAM frame of either direction, unless its error code is NO_ERROR.
func (g *Guard) countReset(now time.Duration, f frame) error {
	noError := f.length == errorCodeBytes && f.errorCode == 0
	if noError || g.limits.ResetsPerSecond == 0 || g.resets.take(now) {
		return nil
	}
	return &Flood{"RST_STREAM frames per second", g.limits.ResetsPerSecond}
}

// countControlFrame counts a frame against ControlFramesPerSecond.
func (g *Guard) countControlFrame(now time.Duration) error {
	if g.limits.ControlFramesPerSecond == 0 || g.controlFrames.take(now) {
		return nil
	}
	return &Flood{"control frames per second", g.limits.ControlFramesPerSecond}
}
