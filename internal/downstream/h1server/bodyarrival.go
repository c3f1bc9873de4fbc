package h1server

import "time"

// This file accounts for who waits for whom while a request's body arrives. The time of a request of the platform's clients
// begins with the client's last write, which this node can't see. The client's time stands still only while the node is ready to
// take bytes and none are there, since the client has more to write then. While bytes lie unread in the socket, because an
// endpoint does not read, or reads slowly, the client's time runs, whoever reads the body: net/http, the read-ahead of this
// package, or nobody.

const (
	// parserBufferBytes is the most that net/http holds of a connection's bytes without having returned them.
	parserBufferBytes = 4 << 10
	// settleTime is how long after a socket was read empty the bytes arrive that the client's kernel had to hold back before.
	settleTime = 20 * time.Millisecond
	// leastWindow is the least receive window that is counted on, in bytes.
	leastWindow = 32 << 10
	// maxDrainGap is the longest time between two finds of an empty socket between which its client could send all the time.
	maxDrainGap = 2 * disconnectCheckInterval
)

// arrivalState says what is known of the rest of a body.
type arrivalState uint8

const (
	arriving  arrivalState = iota // the last byte may have arrived, or not
	awaited                       // a read by net/http waits for the client, and all before it was parsed
	allCame                       // the last byte has arrived, read or not
	delivered                     // the body was read to its end
)

// bodyArrival is the only owner of what is known about the arrival of one body. It reads no clock: times are durations since any
// origin. It is not safe for concurrent use.
type bodyArrival struct {
	length int64 // length of the body; -1 if it is not known
	state  arrivalState
	parsed int64 // bytes of the body that net/http has returned

	// notBefore is the last time at which the node was known to wait for the client.
	notBefore time.Duration
	// limit is the client's time; 0 as long as it is not known. Once it has run out, it doesn't begin again: whoever reads the
	// rest empties the socket, but the request is over.
	limit time.Duration
	over  bool

	// drainedSince is the time since which the socket was found empty again and again, the last time at lastEmpty. taken is the
	// number of bytes that were taken from it after that. While they are fewer than window, the client could send all the time.
	drainedSince, lastEmpty time.Duration
	taken, window           int64
}

// newBodyArrival returns the arrival of a body whose first byte is read at now or later.
func newBodyArrival(length int64, now time.Duration) *bodyArrival {
	return &bodyArrival{length: length, notBefore: now, drainedSince: now, lastEmpty: now, window: leastWindow}
}

// open reports whether the last byte may not have arrived yet.
func (b *bodyArrival) open() bool { return b.state == arriving || b.state == awaited }

// moveTo records that the node waited for the client at a time.
func (b *bodyArrival) moveTo(at time.Duration) { b.notBefore = max(b.notBefore, at) }

// foundEmpty records that the socket was found empty. If it had not been for long, the client's kernel may still hold bytes that
// were written long before.
func (b *bodyArrival) foundEmpty(now time.Duration) {
	b.over = b.over || b.limit > 0 && b.elapsed(now) >= b.limit
	if b.taken >= b.window || b.state != awaited && now-b.lastEmpty > maxDrainGap {
		b.drainedSince = now
	}
	b.lastEmpty, b.taken = now, 0
}

// took records that n bytes were taken from the socket.
func (b *bodyArrival) took(n int) { b.taken += int64(n) }

// settled reports whether the client's kernel holds nothing back, given that the socket is empty at the time.
func (b *bodyArrival) settled(now time.Duration) bool { return now-b.drainedSince >= settleTime }

// readerWaits records that net/http's read of the body found the socket empty.
func (b *bodyArrival) readerWaits(now time.Duration) {
	if b.state == arriving {
		b.foundEmpty(now)
		b.state = awaited
	}
}

// readerGotBytes records that net/http's read of the body took bytes from the socket.
func (b *bodyArrival) readerGotBytes(now time.Duration) {
	if b.state != awaited {
		return
	}
	b.foundEmpty(now) // up to now
	b.state = arriving
	if b.settled(now) {
		b.moveTo(now)
	}
}

// bytesParsed records that net/http has returned n bytes of the body.
func (b *bodyArrival) bytesParsed(n int) { b.parsed += int64(n) }

// ended records that net/http has returned the end of the body. A read that waits then belongs to the next request.
func (b *bodyArrival) ended() { b.state = delivered }

// readAheadEmptied records that the read-ahead, which now holds unparsed bytes, found the socket empty. Since the end of the
// body may be among these bytes, that shows nothing of the client unless the length does.
func (b *bodyArrival) readAheadEmptied(now time.Duration, unparsed int64) {
	if b.state != arriving {
		return
	}
	b.foundEmpty(now)
	if b.length >= 0 && b.length-b.parsed-unparsed > parserBufferBytes && b.settled(now) {
		b.moveTo(now)
	}
}

// looked records that a number of bytes have arrived that net/http has not returned. Where a read waits for the client, the look
// tells nothing: the read takes the bytes at once and tells when.
func (b *bodyArrival) looked(unread int64) {
	if b.state != arriving {
		return
	}
	if b.length >= 0 && b.parsed+unread >= b.length {
		b.state = allCame
	}
}

// elapsed returns the part of the client's time that has passed.
func (b *bodyArrival) elapsed(now time.Duration) time.Duration {
	passed := max(0, now-b.notBefore)
	switch {
	case b.over:
		return max(passed, b.limit)
	case b.state == awaited && b.settled(now):
		return 0
	}
	return passed
}
