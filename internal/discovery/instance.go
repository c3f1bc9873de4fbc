// An instance of the endpoint list: its fields, identity and state, and the validation of its entry in a response. An
// entry is one element of the JSON array of instances.

package discovery

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"strconv"
	"time"

	"yokestall/policy"
)

// Limits on the fields of an instance.
const (
	// MaxIDBytes is the maximum length of an instance's ID and zone, and of the address of a ready instance, in bytes.
	MaxIDBytes = 128

	maxWeight = 1e6
	maxCell   = math.MaxInt32
	maxPort   = 65535
	// maxClockSkew is how far the start time of an instance may be ahead of the node's clock.
	maxClockSkew = time.Minute
)

// Values of an instance's lifecycle in the discovery protocol.
const (
	lifecycleReady       = "Ready"
	lifecycleTerminating = "Terminating"
	lifecycleGone        = "Gone"
)

// Instance is one entry of the endpoint list.
type Instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"` // may be empty unless the instance is ready
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"` // group of instances within the zone
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`      // relative size, comparable across instances; 0 if unknown
	StartedAtMs float64 `json:"startedAtMs"` // Unix time of the latest start, in milliseconds; 0 if unknown or long ago
}

// FieldError reports a field of an instance that is missing or out of range.
type FieldError struct {
	Field   string // name of the field in the response
	Problem string // predicate of the error text, such as "is missing"
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + " " + e.Problem }

// ID returns the endpoint's ID, the 64-bit FNV-1a hash of InstanceID. All nodes derive the same ID for an instance,
// which the policy's subsetting requires.
func (i *Instance) ID() policy.EndpointID {
	hash := fnv.New64a()
	io.WriteString(hash, i.InstanceID)
	return policy.EndpointID(hash.Sum64())
}

// State returns the endpoint's state. An instance with an unknown lifecycle is treated as draining, so that it gets no
// new requests.
func (i *Instance) State() policy.EndpointState {
	switch i.Lifecycle {
	case lifecycleReady:
		return policy.Ready
	case lifecycleGone:
		return policy.Removed
	}
	return policy.Draining
}

// withdrawn reports whether the lifecycle is one that the protocol defines and that allows no new requests. It is false
// for an unknown lifecycle, although State treats that as draining.
func (i *Instance) withdrawn() bool {
	return i.Lifecycle == lifecycleTerminating || i.Lifecycle == lifecycleGone
}

// parseInstance parses and validates one entry of a response. Of an invalid entry it returns, with the error, an
// instance whose ID (empty if missing or invalid) and lifecycle the caller may still use. The address is also usable if
// all fields of the entry have the right types; otherwise it is empty.
func parseInstance(entry json.RawMessage, now time.Time) (Instance, error) {
	var instance Instance
	err := json.Unmarshal(entry, &instance)
	if err == nil {
		err = instance.validate(now)
	} else {
		instance = parseIdentity(entry)
	}
	if len(instance.InstanceID) > MaxIDBytes {
		instance.InstanceID = ""
	}
	return instance, err
}

// parseIdentity decodes only the ID and the lifecycle of an entry that could not be decoded as a whole, each on its own:
// a wrong type in another field must not hide that the instance is draining.
func parseIdentity(entry json.RawMessage) Instance {
	var id struct {
		InstanceID string `json:"instanceId"`
	}
	var state struct {
		Lifecycle string `json:"lifecycle"`
	}
	if json.Unmarshal(entry, &id) != nil {
		id.InstanceID = ""
	}
	if json.Unmarshal(entry, &state) != nil {
		state.Lifecycle = ""
	}
	return Instance{InstanceID: id.InstanceID, Lifecycle: state.Lifecycle}
}

// validate returns a *FieldError for the first field found to be missing or out of range, or nil if all are valid. now
// is the wall time.
func (i *Instance) validate(now time.Time) error {
	switch {
	case i.InstanceID == "":
		return &FieldError{"instanceId", "is missing"}
	case len(i.InstanceID) > MaxIDBytes:
		return &FieldError{"instanceId", fmt.Sprintf("is longer than %d bytes", MaxIDBytes)}
	case len(i.Zone) > MaxIDBytes:
		return &FieldError{"zone", fmt.Sprintf("is longer than %d bytes", MaxIDBytes)}
	case i.Lifecycle == "":
		return &FieldError{"lifecycle", "is missing"}
	case i.Weight < 0 || i.Weight > maxWeight:
		return outOfRange("weight", i.Weight)
	case i.Cell < 0 || i.Cell > maxCell:
		return outOfRange("cell", i.Cell)
	case i.StartedAtMs < 0 || i.StartedAtMs > float64(now.Add(maxClockSkew).UnixMilli()):
		return outOfRange("startedAtMs", i.StartedAtMs)
	case i.State() == policy.Ready && !validHostPort(i.HostPort): // only ready instances need an address
		return &FieldError{"hostPort", fmt.Sprintf("is too long or is not host:port with a port from 1 to 65535: %q",
			i.HostPort[:min(len(i.HostPort), MaxIDBytes)])}
	}
	return nil
}

// outOfRange returns the error for a number below 0 or above its maximum. The text names no maximum: it is maxWeight for
// weight, maxCell for cell, and maxClockSkew after the node's present time for startedAtMs.
func outOfRange(field string, value any) *FieldError {
	return &FieldError{field, fmt.Sprintf("is negative or too large: %v", value)}
}

// validHostPort reports whether an address is at most MaxIDBytes long and has a host and a port from 1 to maxPort.
func validHostPort(address string) bool {
	if len(address) > MaxIDBytes {
		return false
	}
	host, portText, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	port, err := strconv.Atoi(portText)
	return err == nil && port >= 1 && port <= maxPort
}
