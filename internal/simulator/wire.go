// Package simulator reads and writes the frames of the simulator's binary wire. It
// decides nothing: it turns event records into the types of package policy and
// actions into records.
package simulator

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"yokestall/policy"
)

// The sizes of a frame's parts, in bytes.
const (
	batchHeaderSize = 20
	replyHeaderSize = 12
	eventSize   = 48
	actionSize  = 24
	endpointSize   = 25
	maxBodySize     = 1 << 30
)

// Code tells what an event record is.
type Code uint8

// The events.
const (
	OpenInstance     Code = 1
	EndpointUpdate  Code = 2
	Request  Code = 3
	StreamStarted  Code = 4
	Outcome  Code = 5
	ClientDisconnected     Code = 6
	Timer    Code = 7
	HealthCheck   Code = 8
	PeerMessage     Code = 9
	CloseInstance     Code = 10
	SelectInstance Code = 11
)

// The actions.
const (
	actionCancel  = 65
	actionSend    = 66
	actionSelectInstance = 68
	actionReject  = 71
	actionSetTimer   = 72
	actionFail    = 73
	actionRequestPoll   = 75
	actionFatal   = 77
)

// ErrFormat is wrapped by every complaint about a malformed frame.
var ErrFormat = errors.New("malformed frame")

// Batch is one frame of events. Its bytes are valid until the next Read.
type Batch struct {
	Now    time.Duration
	Number uint32
	Count  int

	records []byte
	tail    []byte
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	body  []byte
	head  [batchHeaderSize]byte
	batch Batch
}

// NewReader reads batches from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<16)} }

// Read returns the next batch. A clean end of input gives io.EOF.
func (r *Reader) Read() (*Batch, error) {
	if n, err := io.ReadFull(r.in, r.head[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("%w: header after batch %d: %w", ErrFormat, r.batch.Number, err)
	}
	size := binary.BigEndian.Uint32(r.head[0:])
	ms := math.Float64frombits(binary.BigEndian.Uint64(r.head[4:]))
	count := binary.BigEndian.Uint32(r.head[12:])
	r.batch.Number = binary.BigEndian.Uint32(r.head[16:])
	if size > maxBodySize || uint64(count)*eventSize > uint64(size) {
		return nil, fmt.Errorf("%w: batch %d: %d records in %d bytes", ErrFormat, r.batch.Number, count, size)
	}
	if err := r.fill(int(size)); err != nil {
		return nil, fmt.Errorf("%w: batch %d: body: %w", ErrFormat, r.batch.Number, err)
	}
	now, ok := duration(ms)
	if !ok {
		return nil, fmt.Errorf("%w: batch %d: clock %v", ErrFormat, r.batch.Number, ms)
	}
	r.batch.Now = now
	r.batch.Count = int(count)
	r.batch.records = r.body[:int(count)*eventSize]
	r.batch.tail = r.body[int(count)*eventSize:]
	return &r.batch, nil
}

// fill reads size bytes into the body; memory grows with what has come in, not
// with what a header claims.
func (r *Reader) fill(size int) error {
	const step = 1 << 20
	r.body = r.body[:0]
	for len(r.body) < size {
		have := len(r.body)
		n := min(step, size-have)
		if cap(r.body) < have+n {
			r.body = append(r.body[:have], make([]byte, n)...)
		}
		r.body = r.body[:have+n]
		if _, err := io.ReadFull(r.in, r.body[have:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// Event is one record of a batch. Which fields count depends on Code.
type Event struct {
	Code     Code
	Instance uint16 // Instance
	Seed     uint64 // Open
	Settings []byte // Open: JSON
	Kind     policy.UpdateKind
	Endpoints  []policy.Endpoint // Members; valid until the next Event
	Request  policy.Request
	Outcome  policy.Outcome // Outcome, Started (ID, Attempt), Left (ID)
	Token    uint64         // Timer
}

var statuses = map[uint16]policy.Status{
	200: policy.OK, 502: policy.ErrorResponse, 429: policy.Rejected, 408: policy.Timeout,
	521: policy.ConnectFailed, 520: policy.Reset, 444: policy.Cancelled, 409: policy.NeverSent,
}

// Event decodes record i of the batch into e.
func (b *Batch) Event(i int, e *Event) error {
	rec := b.records[i*eventSize : (i+1)*eventSize]
	u16 := func(at int) uint16 { return binary.BigEndian.Uint16(rec[at:]) }
	u32 := func(at int) uint32 { return binary.BigEndian.Uint32(rec[at:]) }
	u64 := func(at int) uint64 { return binary.BigEndian.Uint64(rec[at:]) }
	f64 := func(at int) float64 { return math.Float64frombits(u64(at)) }
	fail := func(what string, v any) error {
		return fmt.Errorf("%w: batch %d, record %d: %s %v", ErrFormat, b.Number, i, what, v)
	}
	e.Code = Code(rec[0])
	switch e.Code {
	case SelectInstance:
		e.Instance = u16(1)
	case OpenInstance:
		e.Seed = u64(1)
		text, ok := b.slice(u32(9), u32(13), 1)
		if !ok {
			return fail("settings out of the tail:", u32(9))
		}
		e.Settings = text
	case EndpointUpdate:
		if rec[1] > uint8(policy.UpdateFailed) {
			return fail("list kind", rec[1])
		}
		e.Kind = policy.UpdateKind(rec[1])
		raw, ok := b.slice(u32(10), u32(14), endpointSize)
		if !ok {
			return fail("entries out of the tail:", u32(10))
		}
		return decodeEntries(e, raw, fail)
	case Request:
		left, ok1 := duration(f64(16))
		hint, ok2 := duration(f64(24))
		if !ok1 || !ok2 {
			return fail("time of a query:", f64(16))
		}
		if rec[32]&1 == 0 {
			hint = 0
		}
		e.Request = policy.Request{
			ID: policy.RequestID(u32(1)), Class: int(rec[5]), Tenant: int(u16(6)),
			TimeRemaining: left, WorkHint: hint,
		}
	case StreamStarted:
		e.Outcome = policy.Outcome{
			ID: policy.RequestID(u32(1)), Attempt: int(u16(5)), Endpoint: endpointID(rec[15:]),
		}
	case Outcome:
		status, ok := statuses[u16(5)]
		if !ok {
			return fail("status", u16(5))
		}
		latency, ok := duration(f64(16))
		if !ok {
			return fail("latency", f64(16))
		}
		e.Outcome = policy.Outcome{
			ID: policy.RequestID(u32(1)), Status: status, RequestDone: rec[7] != 0,
			Endpoint: endpointID(rec[8:]), Attempt: int(u16(14)), Latency: latency,
		}
	case ClientDisconnected:
		e.Outcome = policy.Outcome{ID: policy.RequestID(u32(1))}
	case Timer:
		e.Token = u64(1)
	case PeerMessage:
		if _, ok := b.slice(u32(5), u32(9), 1); !ok {
			return fail("message out of the tail:", u32(5))
		}
	case HealthCheck, CloseInstance:
	default:
		return fail("unknown event code", rec[0])
	}
	return nil
}

func decodeEntries(e *Event, raw []byte, fail func(string, any) error) error {
	e.Endpoints = e.Endpoints[:0]
	for ; len(raw) > 0; raw = raw[endpointSize:] {
		if raw[12] > uint8(policy.Draining) {
			return fail("server state", raw[12])
		}
		weight := float64(math.Float32frombits(binary.BigEndian.Uint32(raw[13:])))
		started, ok := duration(math.Float64frombits(binary.BigEndian.Uint64(raw[17:])))
		if !ok || !(weight >= 0) || math.IsInf(weight, 1) {
			return fail("server weight or start:", weight)
		}
		e.Endpoints = append(e.Endpoints, policy.Endpoint{
			ID: endpointID(raw), Zone: int(binary.BigEndian.Uint16(raw[6:])),
			Cell: int(binary.BigEndian.Uint16(raw[10:])), State: policy.EndpointState(raw[12]),
			Weight: weight, StartedAt: started,
		})
	}
	return nil
}

// slice gives count items of the tail.
func (b *Batch) slice(offset, count uint32, size uint64) ([]byte, bool) {
	end := uint64(offset) + uint64(count)*size
	if end > uint64(len(b.tail)) {
		return nil, false
	}
	return b.tail[offset:end], true
}

func endpointID(b []byte) policy.EndpointID {
	return policy.EndpointID(uint64(binary.BigEndian.Uint32(b))<<16 | uint64(binary.BigEndian.Uint16(b[4:])))
}

// duration turns milliseconds into a Duration, unless they are no number or
// too many for one.
func duration(ms float64) (time.Duration, bool) {
	const most = float64(math.MaxInt64) / 4 / float64(time.Millisecond)
	if !(ms > -most && ms < most) {
		return 0, false
	}
	return time.Duration(math.Round(ms * float64(time.Millisecond))), true
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Reply collects the actions of one batch.
type Reply struct {
	out     []byte
	tail    []byte
	count   uint32
	current int // instance of the last context record; -1: none
	target  uint16
}

// Reset starts a new reply.
func (r *Reply) Reset() {
	if r.out == nil {
		r.out = make([]byte, 0, 1<<14)
	}
	r.out = r.out[:replyHeaderSize]
	r.tail = r.tail[:0]
	r.count = 0
	r.current = -1
}

// SelectInstance names the instance that the actions from here on belong to.
func (r *Reply) SelectInstance(instance uint16) { r.target = instance }

// record appends an action record, preceded by its context where that changes.
func (r *Reply) record(code byte) []byte {
	if r.current != int(r.target) {
		r.current = int(r.target)
		binary.BigEndian.PutUint16(r.append(actionSelectInstance)[1:], r.target)
	}
	return r.append(code)
}

func (r *Reply) append(code byte) []byte {
	var blank [actionSize]byte
	r.out = append(r.out, blank[:]...)
	rec := r.out[len(r.out)-actionSize:]
	rec[0] = code
	r.count++
	return rec
}

func (r *Reply) forRequest(code byte, id policy.RequestID) []byte {
	rec := r.record(code)
	binary.BigEndian.PutUint32(rec[1:], uint32(id))
	return rec
}

// Send implements policy.Host.
func (r *Reply) Send(id policy.RequestID, server policy.EndpointID, timeout time.Duration) {
	rec := r.forRequest(actionSend, id)
	binary.BigEndian.PutUint32(rec[5:], uint32(server>>16))
	binary.BigEndian.PutUint16(rec[9:], uint16(server))
	putMilliseconds(rec[11:], timeout)
}

// Cancel implements policy.Host.
func (r *Reply) Cancel(id policy.RequestID, attempt int) {
	binary.BigEndian.PutUint16(r.forRequest(actionCancel, id)[5:], uint16(attempt))
}

// Reject implements policy.Host.
func (r *Reply) Reject(id policy.RequestID, retryAfter time.Duration) {
	putMilliseconds(r.forRequest(actionReject, id)[5:], retryAfter)
}

// Fail implements policy.Host.
func (r *Reply) Fail(id policy.RequestID) { r.forRequest(actionFail, id) }

// SetTimer implements policy.Host.
func (r *Reply) SetTimer(at time.Duration, token uint64) {
	rec := r.record(actionSetTimer)
	putMilliseconds(rec[1:], at)
	binary.BigEndian.PutUint64(rec[9:], token)
}

// RequestPoll implements policy.Host.
func (r *Reply) RequestPoll() { r.record(actionRequestPoll)[1] = 1 }

// Fatal says that the decision code has failed.
func (r *Reply) Fatal(text string) {
	rec := r.record(actionFatal)
	binary.BigEndian.PutUint32(rec[1:], uint32(len(r.tail)))
	binary.BigEndian.PutUint32(rec[5:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// WriteTo writes the reply to the given batch.
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

func putMilliseconds(b []byte, d time.Duration) {
	binary.BigEndian.PutUint64(b, math.Float64bits(milliseconds(d)))
}
