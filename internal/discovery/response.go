// Parsing of a response of the discovery service, and the rule which of its entries are usable. An invalid entry must
// neither make the other entries of the response unusable nor remove the endpoint that the entry describes.

package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"yokestall/policy"
)

// Limits on a response.
const (
	// MaxResponseBytes is the maximum size of the body of a response.
	MaxResponseBytes = 2 << 20
	// MaxInstances is the maximum number of entries in a response, and of instances on a list.
	MaxInstances = 10000
)

// Response is the usable content of a response of the discovery service. ParseResponse applies these rules to the
// entries:
//
//   - An entry is usable if it is decoded without an error and its fields pass the validation.
//   - An unusable entry with a valid ID and a lifecycle that says that the instance is draining or removed is still
//     applied, with its ID, lifecycle and address only. This is safe because the entry can only take requests away from
//     an endpoint.
//   - Any other unusable entry with a valid ID leaves the instance as it was last known. It does not add an instance.
//   - An unusable entry without a valid ID makes the response a delta, so that no instance is removed only because the
//     response does not contain it.
//   - Of two applied entries with the same ID, the one whose state allows fewer requests is used.
type Response struct {
	// Generation is the version of the endpoint list that the node has after the response.
	Generation uint64
	// Full reports that the response is the full list: an instance that is in neither Instances nor RetainedIDs
	// has been removed. If it is false, the response is a delta.
	Full bool
	// Instances are the instances of the applied entries. Their IDs are distinct.
	Instances []Instance
	// RetainedIDs are the IDs of unusable entries of a full list that are not applied: these instances stay as they
	// were last known. It is nil in a delta.
	RetainedIDs []string
	// Incomplete describes the first unusable or duplicate entry, because of which the caller has to request the full
	// list. It is nil if there is no such entry.
	Incomplete *EntryError
}

// EntryError reports an unusable or duplicate entry of a response.
type EntryError struct {
	Position   int    // position of the entry in the response, from 1
	InstanceID string // empty if the entry has no valid ID
	Err        error  // ErrDuplicateID, a *FieldError or an error of encoding/json
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.InstanceID == "" {
		return fmt.Sprintf("entry %d: %v", e.Position, e.Err)
	}
	return fmt.Sprintf("entry %d, instance %q: %v", e.Position, e.InstanceID, e.Err)
}

// Unwrap returns Err.
func (e *EntryError) Unwrap() error { return e.Err }

// ErrDuplicateID reports that an earlier entry of the same response has the same ID.
var ErrDuplicateID = errors.New("duplicate instanceId")

// ParseResponse parses the body of a response. fullRequested reports that the full list was requested, in which case the
// response is treated as the full list whether or not its field "reset" is set. now is the wall time with which start
// times of instances are compared. ParseResponse returns an error if the body as a whole is invalid or exceeds a limit;
// invalid entries are reported by Response.Incomplete instead.
func ParseResponse(body []byte, fullRequested bool, now time.Time) (*Response, error) {
	if len(body) > MaxResponseBytes {
		return nil, fmt.Errorf("endpoint list: the response is longer than %d bytes", MaxResponseBytes)
	}
	wire, err := decodeResponse(body)
	if err != nil {
		return nil, fmt.Errorf("endpoint list: %w", err)
	}
	var entries []json.RawMessage // JSON null is decoded as an empty list
	if err := json.Unmarshal(wire.Instances, &entries); err != nil {
		return nil, fmt.Errorf("endpoint list: field instances is not an array: %w", err)
	}
	if len(entries) > MaxInstances {
		return nil, fmt.Errorf("endpoint list: the response has %d instances, at most %d are allowed", len(entries), MaxInstances)
	}
	response := &Response{Generation: *wire.Generation, Full: fullRequested || wire.Reset}
	response.addEntries(entries, now)
	return response, nil
}

// wireResponse is the body of a response. Its entries are not decoded yet.
type wireResponse struct {
	Generation *uint64         `json:"generation"`
	Reset      bool            `json:"reset"`
	Instances  json.RawMessage `json:"instances"`
}

// decodeResponse decodes a body, which must be a single JSON object with the fields generation and instances.
func decodeResponse(body []byte) (wireResponse, error) {
	var wire wireResponse
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&wire); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return wire, fmt.Errorf("the response is truncated after %d bytes: %w", len(body), err)
		}
		return wire, err
	}
	switch trailing, err := decoder.Token(); {
	case err == nil:
		return wire, fmt.Errorf("unexpected %v after the end of the response's JSON object", trailing)
	case !errors.Is(err, io.EOF):
		return wire, fmt.Errorf("invalid data after the end of the response's JSON object: %w", err)
	case wire.Generation == nil:
		return wire, errors.New("field generation is missing")
	case wire.Instances == nil:
		return wire, errors.New("field instances is missing")
	}
	return wire, nil
}

// addEntries fills Instances, RetainedIDs and Incomplete from the entries by the rules of Response, and clears Full if an
// entry has no valid ID.
func (r *Response) addEntries(entries []json.RawMessage, now time.Time) {
	r.Instances = make([]Instance, 0, len(entries))
	indexByID := make(map[string]int, len(entries))
	for i, entry := range entries {
		instance, err := parseInstance(entry, now)
		if err != nil {
			r.markIncomplete(i+1, instance.InstanceID, err)
			if instance.InstanceID == "" {
				r.Full = false
				continue
			}
			if !instance.withdrawn() {
				r.RetainedIDs = append(r.RetainedIDs, instance.InstanceID)
				continue
			}
			instance = Instance{
				InstanceID: instance.InstanceID, HostPort: instance.HostPort, Lifecycle: instance.Lifecycle,
			}
		}
		first, duplicate := indexByID[instance.InstanceID]
		if !duplicate {
			indexByID[instance.InstanceID] = len(r.Instances)
			r.Instances = append(r.Instances, instance)
			continue
		}
		r.markIncomplete(i+1, instance.InstanceID, ErrDuplicateID)
		if permissiveness(instance.State()) < permissiveness(r.Instances[first].State()) {
			r.Instances[first] = instance
		}
	}
	if !r.Full {
		r.RetainedIDs = nil
	}
}

// markIncomplete sets Incomplete to the given entry, unless an earlier one is recorded there. position counts from 1.
func (r *Response) markIncomplete(position int, id string, err error) {
	if r.Incomplete == nil {
		r.Incomplete = &EntryError{Position: position, InstanceID: id, Err: err}
	}
}

// permissiveness ranks states by the requests that they allow: 2 for new requests, 1 for those in flight only, 0 for none.
func permissiveness(state policy.EndpointState) int {
	switch state {
	case policy.Ready:
		return 2
	case policy.Draining:
		return 1
	}
	return 0
}
