// One instance of the endpoint list: its fields, identity and state, and which values are valid. An instance that
// allows no new requests needs no address. A line is its raw JSON in a response.

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

// Limits of the fields of an instance.
const (
	// MaxIDBytes limits the length of an ID, a zone and an address, in bytes.
	MaxIDBytes = 128

	maxWeight = 1e6
	maxCell   = math.MaxInt32
	maxPort   = 65535
	// maxClockSkew is how far ahead of the node's clock the start of an instance may lie.
	maxClockSkew = time.Minute
)

// The lifecycles that the discovery service names.
const (
	lifecycleReady       = "Ready"
	lifecycleTerminating = "Terminating"
	lifecycleGone        = "Gone"
)

// Instance is one entry of the endpoint list.
type Instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"` // Unix time in milliseconds; 0 if it started long ago
}

// FieldError reports a field of an instance that is missing or out of range.
type FieldError struct {
	Field   string // its name in the response
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + " " + e.Problem }

// ID returns the endpoint's ID, the 64-bit FNV-1a hash of InstanceID. All nodes derive the same ID, as the
// policy's subsetting requires.
func (i *Instance) ID() policy.EndpointID {
	hash := fnv.New64a()
	io.WriteString(hash, i.InstanceID)
	return policy.EndpointID(hash.Sum64())
}

// State returns the endpoint's state. An unknown lifecycle counts as draining: the endpoint gets no new requests.
func (i *Instance) State() policy.EndpointState {
	switch i.Lifecycle {
	case lifecycleReady:
		return policy.Ready
	case lifecycleGone:
		return policy.Removed
	}
	return policy.Draining
}

// withdrawn reports whether the instance has a lifecycle that the protocol names and that allows no new requests.
func (i *Instance) withdrawn() bool {
	return i.Lifecycle == lifecycleTerminating || i.Lifecycle == lifecycleGone
}

// parseInstance parses and validates one line. Together with an error it returns what may still be used: the ID, empty
// if it is missing or invalid, the lifecycle and the address.
func parseInstance(line json.RawMessage, now time.Time) (Instance, error) {
	var instance Instance
	err := json.Unmarshal(line, &instance)
	if err == nil {
		err = instance.validate(now)
	} else {
		instance = parseIdentity(line)
	}
	if len(instance.InstanceID) > MaxIDBytes {
		instance.InstanceID = ""
	}
	return instance, err
}

// parseIdentity reads the ID and the lifecycle, each by itself, of a line that does not parse: a wrong type in another
// field must not hide that the instance drains.
func parseIdentity(line json.RawMessage) Instance {
	var id struct {
		InstanceID string `json:"instanceId"`
	}
	var state struct {
		Lifecycle string `json:"lifecycle"`
	}
	if json.Unmarshal(line, &id) != nil {
		id.InstanceID = ""
	}
	if json.Unmarshal(line, &state) != nil {
		state.Lifecycle = ""
	}
	return Instance{InstanceID: id.InstanceID, Lifecycle: state.Lifecycle}
}

// validate returns a *FieldError for the first field that is missing or out of range, or nil. now is the wall time.
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
	case i.State() == policy.Ready && !validHostPort(i.HostPort): // the others need no address
		return &FieldError{"hostPort", fmt.Sprintf("is not an address: %q", i.HostPort[:min(len(i.HostPort), MaxIDBytes)])}
	}
	return nil
}

func outOfRange(field string, value any) *FieldError {
	return &FieldError{field, fmt.Sprintf("is out of range: %v", value)}
}

// validHostPort reports whether an address has a host and a numeric port.
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
