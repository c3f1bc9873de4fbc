// Parsing a response, and the rule which of its lines are usable. An invalid line must cost neither the other lines
// of the response nor, because it could not be read, the endpoint that it stands for.

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

// Limits of a response.
const (
	// MaxResponseBytes limits the body of a response.
	MaxResponseBytes = 2 << 20
	// MaxInstances limits the lines of a response, and the instances of a list.
	MaxInstances = 10000
)

// Response is the usable content of a response of the discovery service. ParseResponse fills it by this rule:
//
// A line is usable if all the fields that are needed of it can be read and lie in their ranges. Of the other lines,
//
//   - one with an ID and a lifecycle that withdraws the instance (it drains, or was removed) is used for that,
//     whatever else is wrong with it: it only takes requests away from an endpoint;
//   - one with an ID leaves the instance as it was last known, and adds none;
//   - one without an ID makes the response a delta: no instance counts as removed because the response does not
//     name it.
//
// Of two lines with the same ID the more restrictive one is used.
type Response struct {
	// Generation is the version of the endpoint list that the response brings the node to.
	Generation uint64
	// Full reports that the response is the full list: an instance that is in neither Instances nor RetainedIDs
	// has been removed. Otherwise it is a delta.
	Full bool
	// Instances are those of the usable lines. Their IDs are distinct.
	Instances []Instance
	// RetainedIDs are the IDs of a full list whose lines are unusable: these instances stay as they were last known.
	RetainedIDs []string
	// Incomplete is the first line that could not be used as it stands, so that the caller has to request the full
	// list; nil if all lines could.
	Incomplete *LineError
}

// LineError reports a line of a response that could not be used as it stands.
type LineError struct {
	Line       int    // position in the list, from 1
	InstanceID string // empty if the line has no valid ID
	Err        error  // ErrDuplicateID, a *FieldError or an error of encoding/json
}

// Error implements error.
func (e *LineError) Error() string {
	if e.InstanceID == "" {
		return fmt.Sprintf("line %d: %v", e.Line, e.Err)
	}
	return fmt.Sprintf("line %d, instance %q: %v", e.Line, e.InstanceID, e.Err)
}

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// ErrDuplicateID reports an ID that an earlier line of the same response has.
var ErrDuplicateID = errors.New("duplicate instanceId")

// ParseResponse parses the body of a response. fullRequested reports that the full list was requested, so that the
// response is full whatever it says of itself. now is the wall time that starts of instances are compared with. An
// error says what of the body is invalid or over its limit; nothing of the response is usable then.
func ParseResponse(body []byte, fullRequested bool, now time.Time) (*Response, error) {
	if len(body) > MaxResponseBytes {
		return nil, fmt.Errorf("endpoint list: longer than %d bytes", MaxResponseBytes)
	}
	wire, err := decodeResponse(body)
	if err != nil {
		return nil, fmt.Errorf("endpoint list: %w", err)
	}
	var lines []json.RawMessage // null stands for an empty list
	if err := json.Unmarshal(wire.Instances, &lines); err != nil {
		return nil, fmt.Errorf("endpoint list: instances: %w", err)
	}
	if len(lines) > MaxInstances {
		return nil, fmt.Errorf("endpoint list: %d instances, %d at most", len(lines), MaxInstances)
	}
	response := &Response{Generation: *wire.Generation, Full: fullRequested || wire.Reset}
	response.addLines(lines, now)
	return response, nil
}

// wireResponse is the body of a response.
type wireResponse struct {
	Generation *uint64         `json:"generation"`
	Reset      bool            `json:"reset"`
	Instances  json.RawMessage `json:"instances"`
}

// decodeResponse decodes a body, which must be one JSON object with a generation and instances.
func decodeResponse(body []byte) (wireResponse, error) {
	var wire wireResponse
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&wire); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return wire, fmt.Errorf("truncated after %d bytes: %w", len(body), err)
		}
		return wire, err
	}
	switch trailing, err := decoder.Token(); {
	case err == nil:
		return wire, fmt.Errorf("unexpected %v after the end", trailing)
	case !errors.Is(err, io.EOF):
		return wire, fmt.Errorf("after the end: %w", err)
	case wire.Generation == nil:
		return wire, errors.New("generation is missing")
	case wire.Instances == nil:
		return wire, errors.New("instances are missing")
	}
	return wire, nil
}

// addLines applies the rule of Response to the lines.
func (r *Response) addLines(lines []json.RawMessage, now time.Time) {
	r.Instances = make([]Instance, 0, len(lines))
	indexByID := make(map[string]int, len(lines))
	for n, line := range lines {
		instance, err := parseInstance(line, now)
		if err != nil {
			r.markIncomplete(n+1, instance.InstanceID, err)
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
		r.markIncomplete(n+1, instance.InstanceID, ErrDuplicateID)
		if permissiveness(instance.State()) < permissiveness(r.Instances[first].State()) {
			r.Instances[first] = instance
		}
	}
	if !r.Full {
		r.RetainedIDs = nil
	}
}

// markIncomplete records the first line that could not be used as it stands.
func (r *Response) markIncomplete(line int, id string, err error) {
	if r.Incomplete == nil {
		r.Incomplete = &LineError{Line: line, InstanceID: id, Err: err}
	}
}

// permissiveness ranks states by the requests that they allow: new ones, those in flight, none.
func permissiveness(state policy.EndpointState) int {
	switch state {
	case policy.Ready:
		return 2
	case policy.Draining:
		return 1
	}
	return 0
}
