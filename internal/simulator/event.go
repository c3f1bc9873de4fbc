package simulator

import (
	"encoding/binary"
	"fmt"
	"math"

	"yokestall/policy"
)

// endpointSize is the size in bytes of one endpoint of an endpoint update, in a frame's tail.
const endpointSize = 25

// Code is the type of an event record.
type Code uint8

// The codes of event records.
const (
	CodeOpenInstance       Code = 1
	CodeEndpointUpdate     Code = 2
	CodeRequest            Code = 3
	CodeStreamStarted      Code = 4
	CodeOutcome            Code = 5
	CodeClientDisconnected Code = 6
	CodeTimer              Code = 7
	CodeHealthCheck        Code = 8 // ignored by the adapter
	CodePeerMessage        Code = 9 // ignored by the adapter
	CodeCloseInstance      Code = 10
	CodeSelectInstance     Code = 11 // the events that follow are for Event.Instance
)

// Event is one record of a batch. Code says which of the other fields are set.
type Event struct {
	Code      Code
	Instance  uint16            // set by CodeSelectInstance
	Seed      uint64            // set by CodeOpenInstance
	Settings  []byte            // set by CodeOpenInstance: JSON, valid until the next call of Reader.Read
	Kind      policy.UpdateKind // set by CodeEndpointUpdate
	Endpoints []policy.Endpoint // set by CodeEndpointUpdate, valid until the Event is decoded into again
	Request   policy.Request    // set by CodeRequest
	// Outcome is set by CodeOutcome. CodeStreamStarted sets its ID, Attempt and Endpoint only, and
	// CodeClientDisconnected its ID only.
	Outcome policy.Outcome
	Token   uint64 // set by CodeTimer
}

// statuses maps the protocol's numbers for outcomes to the policy's.
var statuses = map[uint16]policy.Status{
	200: policy.OK,
	408: policy.Timeout,
	409: policy.NeverSent,
	429: policy.Rejected,
	444: policy.Cancelled,
	502: policy.ErrorResponse,
	520: policy.Reset,
	521: policy.ConnectFailed,
}

// fieldError reports an invalid value in a record. field says what is wrong with which field.
type fieldError struct {
	field string
	value any
}

// Error implements error.
func (e *fieldError) Error() string { return fmt.Sprintf("%s %v", e.field, e.value) }

// record is an event record, or an endpoint in a frame's tail. Its methods read the field at an offset in bytes.
type record []byte

func (r record) uint16(at int) uint16   { return binary.BigEndian.Uint16(r[at:]) }
func (r record) uint32(at int) uint32   { return binary.BigEndian.Uint32(r[at:]) }
func (r record) uint64(at int) uint64   { return binary.BigEndian.Uint64(r[at:]) }
func (r record) float64(at int) float64 { return math.Float64frombits(r.uint64(at)) }

func (r record) requestID() policy.RequestID { return policy.RequestID(r.uint32(1)) }

// Event decodes record i of the batch into e, from 0. The error wraps ErrFormat and names the batch and the record.
func (b *Batch) Event(i int, e *Event) error {
	r := record(b.records[i*eventSize : (i+1)*eventSize])
	e.Code = Code(r[0])
	if err := e.decode(b, r); err != nil {
		return fmt.Errorf("%w: batch %d, record %d: %w", ErrFormat, b.Number, i, err)
	}
	return nil
}

// decode decodes the fields that a record of the type e.Code has.
func (e *Event) decode(b *Batch, r record) error {
	switch e.Code {
	case CodeSelectInstance:
		e.Instance = r.uint16(1)
	case CodeOpenInstance:
		return e.decodeOpenInstance(b, r)
	case CodeEndpointUpdate:
		return e.decodeEndpointUpdate(b, r)
	case CodeRequest:
		return e.decodeRequest(r)
	case CodeStreamStarted:
		e.Outcome = policy.Outcome{ID: r.requestID(), Attempt: int(r.uint16(5)), Endpoint: parseEndpointID(r[15:])}
	case CodeOutcome:
		return e.decodeOutcome(r)
	case CodeClientDisconnected:
		e.Outcome = policy.Outcome{ID: r.requestID()}
	case CodeTimer:
		e.Token = r.uint64(1)
	case CodePeerMessage:
		if _, ok := b.slice(r.uint32(5), r.uint32(9), 1); !ok {
			return &fieldError{"peer message is not all within the frame's tail: offset", r.uint32(5)}
		}
	case CodeHealthCheck, CodeCloseInstance:
	default:
		return &fieldError{"unknown event code", r[0]}
	}
	return nil
}

func (e *Event) decodeOpenInstance(b *Batch, r record) error {
	settings, ok := b.slice(r.uint32(9), r.uint32(13), 1)
	if !ok {
		return &fieldError{"settings are not all within the frame's tail: offset", r.uint32(9)}
	}
	e.Seed, e.Settings = r.uint64(1), settings
	return nil
}

func (e *Event) decodeEndpointUpdate(b *Batch, r record) error {
	if r[1] > uint8(policy.UpdateFailed) {
		return &fieldError{"unknown kind of endpoint update", r[1]}
	}
	endpoints, ok := b.slice(r.uint32(10), r.uint32(14), endpointSize)
	if !ok {
		return &fieldError{"endpoints are not all within the frame's tail: offset", r.uint32(10)}
	}
	e.Kind = policy.UpdateKind(r[1])
	e.Endpoints = e.Endpoints[:0]
	for ; len(endpoints) > 0; endpoints = endpoints[endpointSize:] {
		endpoint, err := decodeEndpoint(record(endpoints))
		if err != nil {
			return err
		}
		e.Endpoints = append(e.Endpoints, endpoint)
	}
	return nil
}

// decodeEndpoint decodes the first endpoint in r.
func decodeEndpoint(r record) (policy.Endpoint, error) {
	if r[12] > uint8(policy.Draining) {
		return policy.Endpoint{}, &fieldError{"unknown endpoint state", r[12]}
	}
	weight := float64(math.Float32frombits(r.uint32(13)))
	startedAt, ok := parseMilliseconds(r.float64(17))
	if !ok || !(weight >= 0) || math.IsInf(weight, 1) {
		return policy.Endpoint{}, &fieldError{"endpoint has an invalid weight or start time: weight", weight}
	}
	return policy.Endpoint{
		ID:        parseEndpointID(r),
		Zone:      int(r.uint16(6)),
		Cell:      int(r.uint16(10)),
		State:     policy.EndpointState(r[12]),
		Weight:    weight,
		StartedAt: startedAt,
	}, nil
}

func (e *Event) decodeRequest(r record) error {
	const hasWorkHint = 1 // bit of the flags in byte 32
	remaining, remainingOK := parseMilliseconds(r.float64(16))
	hint, hintOK := parseMilliseconds(r.float64(24))
	if !remainingOK || !hintOK {
		return &fieldError{"request has an invalid time remaining or work hint: time remaining in ms", r.float64(16)}
	}
	if r[32]&hasWorkHint == 0 {
		hint = 0
	}
	e.Request = policy.Request{
		ID:            r.requestID(),
		Class:         int(r[5]),
		Tenant:        int(r.uint16(6)),
		TimeRemaining: remaining,
		WorkHint:      hint,
	}
	return nil
}

func (e *Event) decodeOutcome(r record) error {
	status, ok := statuses[r.uint16(5)]
	if !ok {
		return &fieldError{"unknown outcome status", r.uint16(5)}
	}
	latency, ok := parseMilliseconds(r.float64(16))
	if !ok {
		return &fieldError{"latency in ms is not a number or out of range:", r.float64(16)}
	}
	e.Outcome = policy.Outcome{
		ID:          r.requestID(),
		Status:      status,
		RequestDone: r[7] != 0,
		Endpoint:    parseEndpointID(r[8:]),
		Attempt:     int(r.uint16(14)),
		Latency:     latency,
	}
	return nil
}
