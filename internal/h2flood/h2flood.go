// Package h2flood counts what an HTTP/2 connection carries against a listener's limits. It is
// pure: bytes and times go in, a verdict comes out. It reads the headers of frames alone
// (RFC 9113, 4.1); what they mean is left to the server behind it.
//
// The server's own limits bound what a flood costs in memory. They don't bound what it costs in
// work: a client may reset a stream a microsecond after it opened it, or have the server reset
// it, as often as it likes, and each time a request is begun for nothing.
package h2flood

import (
	"encoding/binary"
	"fmt"
	"time"
)

// Limits of a connection; what is 0 is not limited. A rate may be passed for Burst: what a usual
// client does at once (a page that is left resets all of its streams) is no flood.
type Limits struct {
	// ResetsPerSecond is how many RST_STREAM frames a second may pass, either way: a client that has the
	// server reset its streams does no better. Those with NO_ERROR are an early answer's end
	// (RFC 9113, 8.1) and don't count.
	ResetsPerSecond int
	// ControlFramesPerSecond is how many frames a second a client may send that carry no request: PING,
	// SETTINGS, PRIORITY, unknown ones, DATA with nothing in it, and WINDOW_UPDATE beyond one
	// for each UpdateBytes that it was sent.
	ControlFramesPerSecond int
	// ContinuationsPerBlock is how many CONTINUATION frames a block of fields may have.
	ContinuationsPerBlock int
}

const (
	// BurstWindow is for how long a rate's worth may come at once.
	BurstWindow = 5 * time.Second
	// bytesPerWindowUpdate is how many bytes sent to a client allow it one WINDOW_UPDATE.
	bytesPerWindowUpdate = 256
	// prefaceBytes is how many bytes a client sends ahead of its first frame (RFC 9113, 3.4).
	prefaceBytes = 24
)

// Flood is a limit that a connection has passed.
type Flood struct {
	Kind  string // of frames
	Limit int    // a second; of a block for CONTINUATION
}

func (f *Flood) Error() string { return fmt.Sprintf("h2guard: more than %d %s", f.Limit, f.Kind) }

// The types of frames (RFC 9113, 6).
const (
	data = iota
	headers
	priority
	rstStream
	settings
	pushPromise
	ping
	goAway
	windowUpdate
	continuation
)

const frameHeaderBytes = 9 // of a frame

// Guard follows one connection, both ways. It is not for concurrent use.
type Guard struct {
	limits         Limits
	received, sent frameScanner
	resets         tokenBucket
	controls       tokenBucket
	continuations  int
	updateCredit   int // bytes sent that have not yet allowed a WINDOW_UPDATE
}

// New follows a connection from its start; after: the client's preface has been read already.
func New(l Limits, now time.Duration, after bool) *Guard {
	g := &Guard{limits: l, resets: newTokenBucket(l.ResetsPerSecond, now), controls: newTokenBucket(l.ControlFramesPerSecond, now)}
	if !after {
		g.received.skip = prefaceBytes
	}
	return g
}

// Received takes bytes that came from the client. An error is a *Flood: nothing of the connection is
// to be served any more.
func (g *Guard) Received(now time.Duration, p []byte) error {
	return g.received.scan(p, func(h *frame) error {
		switch h.kind {
		case headers:
			g.continuations = 0
		case continuation:
			if g.continuations++; g.limits.ContinuationsPerBlock > 0 && g.continuations > g.limits.ContinuationsPerBlock {
				return &Flood{"CONTINUATION frames in a block", g.limits.ContinuationsPerBlock}
			}
		case data:
			if h.length == 0 && h.flags&1 == 0 { // END_STREAM has a meaning of its own
				return g.countControlFrame(now)
			}
		case windowUpdate:
			if g.updateCredit >= bytesPerWindowUpdate {
				g.updateCredit -= bytesPerWindowUpdate
				return nil
			}
			return g.countControlFrame(now)
		case rstStream:
			return g.countReset(now, h)
		case settings, ping:
			if h.flags&1 != 0 { // ACK: there is one for each of the server's
				return nil
			}
			return g.countControlFrame(now)
		default:
			return g.countControlFrame(now)
		}
		return nil
	})
}

// Sent takes bytes that went to the client.
func (g *Guard) Sent(now time.Duration, p []byte) error {
	if g.updateCredit < 1<<30 {
		g.updateCredit += len(p)
	}
	return g.sent.scan(p, func(h *frame) error {
		if h.kind == rstStream {
			return g.countReset(now, h)
		}
		return nil
	})
}

func (g *Guard) countReset(now time.Duration, h *frame) error {
	if h.length == 4 && h.errorCode == 0 || g.limits.ResetsPerSecond == 0 || g.resets.take(now) {
		return nil
	}
	return &Flood{"RST_STREAM frames a second", g.limits.ResetsPerSecond}
}

func (g *Guard) countControlFrame(now time.Duration) error {
	if g.limits.ControlFramesPerSecond == 0 || g.controls.take(now) {
		return nil
	}
	return &Flood{"control frames a second", g.limits.ControlFramesPerSecond}
}

// frame is a frame's header and the first four bytes behind it.
type frame struct {
	length    int
	kind      byte
	flags     byte
	errorCode uint32
}

// frameScanner finds the frameScanner of one direction.
type frameScanner struct {
	skip     int // bytes until the next frame's header
	buffer   [frameHeaderBytes + 4]byte
	buffered int // of part
}

// scan tells of each frame once its header, and of an RST_STREAM its code, has come.
func (f *frameScanner) scan(p []byte, tell func(*frame) error) error {
	for len(p) > 0 {
		if f.skip > 0 {
			n := min(f.skip, len(p))
			f.skip, p = f.skip-n, p[n:]
			continue
		}
		n := copy(f.buffer[f.buffered:f.needed()], p)
		f.buffered, p = f.buffered+n, p[n:]
		if f.buffered < frameHeaderBytes || f.buffered < f.needed() {
			continue
		}
		h := frame{length: f.length(), kind: f.buffer[3], flags: f.buffer[4], errorCode: binary.BigEndian.Uint32(f.buffer[frameHeaderBytes:])}
		f.skip = frameHeaderBytes + h.length - f.buffered
		f.buffered = 0
		if err := tell(&h); err != nil {
			return err
		}
	}
	return nil
}

func (f *frameScanner) length() int {
	return int(f.buffer[0])<<16 | int(f.buffer[1])<<8 | int(f.buffer[2])
}

// needed is how many bytes of the frame have to be there; the header's until it has come.
func (f *frameScanner) needed() int {
	if f.buffered >= frameHeaderBytes && f.buffer[3] == rstStream && f.length() >= 4 {
		return frameHeaderBytes + 4
	}
	return frameHeaderBytes
}

// tokenBucket lets through a rate, and Burst's worth of it at once.
type tokenBucket struct {
	rate, tokens float64 // a second
	refilledAt   time.Duration
}

func newTokenBucket(rate int, now time.Duration) tokenBucket {
	return tokenBucket{rate: float64(rate), tokens: float64(rate) * BurstWindow.Seconds(), refilledAt: now}
}

func (b *tokenBucket) take(now time.Duration) bool {
	if now > b.refilledAt {
		b.tokens = min(b.rate*BurstWindow.Seconds(), b.tokens+b.rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
