package simulator

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"time"

	"yokestall/policy"
)

// The sizes of the parts of a reply's frame, in bytes.
const (
	replyHeaderSize = 12
	actionSize      = 24
)

// initialReplySize is the initial capacity of a Reply's buffer for header and records, in bytes.
const initialReplySize = 1 << 14

// noInstance is the value of Reply.recorded before the first action of a reply.
const noInstance = -1

// The codes of action records.
const (
	actionCancel         = 65
	actionSend           = 66
	actionSelectInstance = 68
	actionReject         = 71
	actionSetTimer       = 72
	actionFail           = 73
	actionRequestPoll    = 75
	actionFatal          = 77
)

var _ policy.Host = (*Reply)(nil)

// Reply collects the actions of the instances on one batch. All instances have the same Reply as their policy.Host.
type Reply struct {
	out      []byte // header and records
	tail     []byte
	count    uint32 // number of records
	instance uint16 // instance that the next actions belong to
	recorded int    // instance that the last actionSelectInstance record names, or noInstance
}

// Reset starts a new, empty reply. It has to be called before the first action of each batch.
func (r *Reply) Reset() {
	if r.out == nil {
		r.out = make([]byte, 0, initialReplySize)
	}
	r.out = r.out[:replyHeaderSize]
	r.tail = r.tail[:0]
	r.count = 0
	r.recorded = noInstance
}

// SelectInstance sets the instance that the following actions belong to.
func (r *Reply) SelectInstance(instance uint16) { r.instance = instance }

// record appends an action record and returns it. If the instance has changed since the previous action, a record that
// names the instance is appended before the action's.
func (r *Reply) record(code byte) []byte {
	if r.recorded != int(r.instance) {
		r.recorded = int(r.instance)
		binary.BigEndian.PutUint16(r.append(actionSelectInstance)[1:], r.instance)
	}
	return r.append(code)
}

// append appends a record that is zero except for its code, and returns it.
func (r *Reply) append(code byte) []byte {
	var blank [actionSize]byte
	r.out = append(r.out, blank[:]...)
	rec := r.out[len(r.out)-actionSize:]
	rec[0] = code
	r.count++
	return rec
}

// requestRecord appends an action record about a request and returns it.
func (r *Reply) requestRecord(code byte, id policy.RequestID) []byte {
	rec := r.record(code)
	binary.BigEndian.PutUint32(rec[1:], uint32(id))
	return rec
}

// Send implements policy.Host.
func (r *Reply) Send(id policy.RequestID, endpoint policy.EndpointID, timeout time.Duration) {
	rec := r.requestRecord(actionSend, id)
	putEndpointID(rec[5:], endpoint)
	putMilliseconds(rec[11:], timeout)
}

// Cancel implements policy.Host.
func (r *Reply) Cancel(id policy.RequestID, attempt int) {
	binary.BigEndian.PutUint16(r.requestRecord(actionCancel, id)[5:], uint16(attempt))
}

// Reject implements policy.Host.
func (r *Reply) Reject(id policy.RequestID, retryAfter time.Duration) {
	putMilliseconds(r.requestRecord(actionReject, id)[5:], retryAfter)
}

// Fail implements policy.Host.
func (r *Reply) Fail(id policy.RequestID) { r.requestRecord(actionFail, id) }

// SetTimer implements policy.Host.
func (r *Reply) SetTimer(at time.Duration, token uint64) {
	rec := r.record(actionSetTimer)
	putMilliseconds(rec[1:], at)
	binary.BigEndian.PutUint64(rec[9:], token)
}

// RequestPoll implements policy.Host.
func (r *Reply) RequestPoll() { r.record(actionRequestPoll)[1] = 1 }

// Fatal reports that an instance has failed, which ends the simulation.
func (r *Reply) Fatal(text string) {
	rec := r.record(actionFatal)
	binary.BigEndian.PutUint32(rec[1:], uint32(len(r.tail)))
	binary.BigEndian.PutUint32(rec[5:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// WriteTo writes the reply to the batch with the given number as one frame, and flushes w.
func (r *Reply) WriteTo(w *bufio.Writer, batch uint32) error {
	binary.BigEndian.PutUint32(r.out[0:], r.count)
	binary.BigEndian.PutUint32(r.out[4:], uint32(len(r.out)-replyHeaderSize+len(r.tail)))
	binary.BigEndian.PutUint32(r.out[8:], batch)
	if _, err := w.Write(r.out); err != nil {
		return fmt.Errorf("write reply %d: %w", batch, err)
	}
	if _, err := w.Write(r.tail); err != nil {
		return fmt.Errorf("write reply %d: %w", batch, err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write reply %d: %w", batch, err)
	}
	return nil
}
