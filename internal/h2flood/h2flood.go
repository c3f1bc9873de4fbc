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
	// Resets is how many RST_STREAM frames a second may pass, either way: a client that has the
	// server reset its streams does no better. Those with NO_ERROR are an early answer's end
	// (RFC 9113, 8.1) and don't count.
	Resets int
	// Controls is how many frames a second a client may send that carry no request: PING,
	// SETTINGS, PRIORITY, unknown ones, DATA with nothing in it, and WINDOW_UPDATE beyond one
	// for each UpdateBytes that it was sent.
	Controls int
	// Pieces is how many CONTINUATION frames a block of fields may have.
	Pieces int
}

const (
	// Burst is for how long a rate's worth may come at once.
	Burst = 5 * time.Second
	// UpdateBytes is how many bytes sent to a client allow it one WINDOW_UPDATE.
	UpdateBytes = 256
	// Preface is how many bytes a client sends ahead of its first frame (RFC 9113, 3.4).
	Preface = 24
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

const headLen = 9 // of a frame

// Guard follows one connection, both ways. It is not for concurrent use.
type Guard struct {
	limits   Limits
	in, out  frames
	resets   bucket
	controls bucket
	pieces   int
	sent     int // bytes sent that have not yet allowed a WINDOW_UPDATE
}

// New follows a connection from its start; after: the client's preface has been read already.
func New(l Limits, now time.Duration, after bool) *Guard {
	g := &Guard{limits: l, resets: newBucket(l.Resets, now), controls: newBucket(l.Controls, now)}
	if !after {
		g.in.skip = Preface
	}
	return g
}

// Read takes bytes that came from the client. An error is a *Flood: nothing of the connection is
// to be served any more.
func (g *Guard) Read(now time.Duration, p []byte) error {
	return g.in.take(p, func(h *head) error {
		switch h.kind {
		case headers:
			g.pieces = 0
		case continuation:
			if g.pieces++; g.limits.Pieces > 0 && g.pieces > g.limits.Pieces {
				return &Flood{"CONTINUATION frames in a block", g.limits.Pieces}
			}
		case data:
			if h.length == 0 && h.flags&1 == 0 { // END_STREAM has a meaning of its own
				return g.control(now)
			}
		case windowUpdate:
			if g.sent >= UpdateBytes {
				g.sent -= UpdateBytes
				return nil
			}
			return g.control(now)
		case rstStream:
			return g.reset(now, h)
		case settings, ping:
			if h.flags&1 != 0 { // ACK: there is one for each of the server's
				return nil
			}
			return g.control(now)
		default:
			return g.control(now)
		}
		return nil
	})
}

// Wrote takes bytes that went to the client.
func (g *Guard) Wrote(now time.Duration, p []byte) error {
	if g.sent < 1<<30 {
		g.sent += len(p)
	}
	return g.out.take(p, func(h *head) error {
		if h.kind == rstStream {
			return g.reset(now, h)
		}
		return nil
	})
}

func (g *Guard) reset(now time.Duration, h *head) error {
	if h.length == 4 && h.first == 0 || g.limits.Resets == 0 || g.resets.take(now) {
		return nil
	}
	return &Flood{"RST_STREAM frames a second", g.limits.Resets}
}

func (g *Guard) control(now time.Duration) error {
	if g.limits.Controls == 0 || g.controls.take(now) {
		return nil
	}
	return &Flood{"control frames a second", g.limits.Controls}
}

// head is a frame's header and the first four bytes behind it.
type head struct {
	length int
	kind   byte
	flags  byte
	first  uint32
}

// frames finds the frames of one direction.
type frames struct {
	skip int // bytes until the next frame's header
	part [headLen + 4]byte
	have int // of part
}

// take tells of each frame once its header, and of an RST_STREAM its code, has come.
func (f *frames) take(p []byte, tell func(*head) error) error {
	for len(p) > 0 {
		if f.skip > 0 {
			n := min(f.skip, len(p))
			f.skip, p = f.skip-n, p[n:]
			continue
		}
		n := copy(f.part[f.have:f.want()], p)
		f.have, p = f.have+n, p[n:]
		if f.have < headLen || f.have < f.want() {
			continue
		}
		h := head{length: f.length(), kind: f.part[3], flags: f.part[4], first: binary.BigEndian.Uint32(f.part[headLen:])}
		f.skip = headLen + h.length - f.have
		f.have = 0
		if err := tell(&h); err != nil {
			return err
		}
	}
	return nil
}

func (f *frames) length() int { return int(f.part[0])<<16 | int(f.part[1])<<8 | int(f.part[2]) }

// want is how many bytes of the frame have to be there; the header's until it has come.
func (f *frames) want() int {
	if f.have >= headLen && f.part[3] == rstStream && f.length() >= 4 {
		return headLen + 4
	}
	return headLen
}

// bucket lets through a rate, and Burst's worth of it at once.
type bucket struct {
	rate, left float64 // a second
	at         time.Duration
}

func newBucket(rate int, now time.Duration) bucket {
	return bucket{rate: float64(rate), left: float64(rate) * Burst.Seconds(), at: now}
}

func (b *bucket) take(now time.Duration) bool {
	if now > b.at {
		b.left = min(b.rate*Burst.Seconds(), b.left+b.rate*(now-b.at).Seconds())
		b.at = now
	}
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
