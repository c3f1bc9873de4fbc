package ingress

import (
	"net/http"
	"strconv"
	"time"

	"yokestall/policy"
)

const (
	// maxRequestIDBytes is the longest valid X-Request-Id, in bytes.
	maxRequestIDBytes = 128
	// maxGRPCTimeoutDigits is the largest number of digits in Grpc-Timeout (gRPC over HTTP2, "TimeoutValue").
	maxGRPCTimeoutDigits = 8
	// maxGRPCTimeout is half of the longest time.Duration, so that its sum with a time on the clock does not overflow.
	maxGRPCTimeout time.Duration = 1 << 62
)

// Attributes are a request's attributes, read from its header fields.
type Attributes struct {
	ID             string        // value of X-Request-Id; "": the request has no id
	Tenant         int           // index of the tenant that X-Tenant-Id names; 0 without a name
	Timeout        time.Duration // the least of Destination.Deadline, X-Timeout-Ms and Grpc-Timeout
	WorkHint       time.Duration // value of X-Cost, which is in microseconds; 0: no hint
	IdempotencyKey string        // value of Idempotency-Key; "" except for policy.IdempotentByKey
}

// ReadAttributes reads a request's attributes from its header fields. If strict is set, X-Request-Id, X-Timeout-Ms and, if
// the destination has tenants, X-Tenant-Id are mandatory, and Grpc-Timeout has no effect. An error is a *Rejection; the
// attributes that were read before the error are returned with it.
func ReadAttributes(h http.Header, destination *Destination, strict bool) (Attributes, error) {
	a := Attributes{Timeout: destination.Deadline}
	if strict || len(h["X-Request-Id"]) > 0 {
		if a.ID = SingleValue(h["X-Request-Id"]); !validRequestID(a.ID) {
			return a, BadRequest("X-Request-ID is missing or malformed")
		}
	}
	if len(destination.Tenants) > 0 && (strict || len(h["X-Tenant-Id"]) > 0) {
		var ok bool
		if a.Tenant, ok = destination.Tenants[SingleValue(h["X-Tenant-Id"])]; !ok {
			return a, BadRequest("X-Tenant-Id is missing or unknown")
		}
	}
	var err error
	if a.Timeout, err = readTimeout(h, destination.Deadline, strict); err != nil {
		return a, err
	}
	if cost := SingleValue(h["X-Cost"]); cost != "" {
		// A hint is only an estimate, so an invalid value is no error: a malformed one is 0, and one above 31 bits is
		// lowered to the largest value of 31 bits.
		us, _ := strconv.ParseUint(cost, 10, 31)
		a.WorkHint = time.Duration(us) * time.Microsecond
	}
	if destination.Idempotency == policy.IdempotentByKey {
		if a.IdempotencyKey = SingleValue(h["Idempotency-Key"]); a.IdempotencyKey == "" {
			return a, BadRequest("Idempotency-Key is missing")
		}
	}
	return a, nil
}

// readTimeout returns the time that the client waits for a response, by its header fields and at most the deadline.
func readTimeout(h http.Header, deadline time.Duration, strict bool) (time.Duration, error) {
	timeout := deadline
	if d, ok := ParseGRPCTimeout(SingleValue(h["Grpc-Timeout"])); ok && !strict {
		timeout = min(timeout, d)
	}
	if strict || len(h["X-Timeout-Ms"]) > 0 {
		ms, err := strconv.ParseUint(SingleValue(h["X-Timeout-Ms"]), 10, 31)
		if err != nil || ms == 0 {
			return timeout, BadRequest("X-Timeout-Ms is missing or no whole number of milliseconds")
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return timeout, nil
}

// ParseGRPCTimeout parses the timeout of a gRPC call (gRPC over HTTP2, "Timeout"): one to eight digits and a unit. A timeout
// above maxGRPCTimeout is lowered to the largest multiple of its unit that does not exceed maxGRPCTimeout. The result is
// false if the text is malformed.
func ParseGRPCTimeout(text string) (time.Duration, bool) {
	if len(text) < 2 || len(text) > maxGRPCTimeoutDigits+1 {
		return 0, false
	}
	digits, unit := text[:len(text)-1], grpcTimeoutUnit(text[len(text)-1])
	n, err := strconv.ParseUint(digits, 10, 32)
	return min(time.Duration(n), maxGRPCTimeout/max(1, unit)) * unit, err == nil && unit > 0
}

// grpcTimeoutUnit returns the duration of a unit of Grpc-Timeout, or 0 for an unknown unit.
func grpcTimeoutUnit(unit byte) time.Duration {
	switch unit {
	case 'H':
		return time.Hour
	case 'M':
		return time.Minute
	case 'S':
		return time.Second
	case 'm':
		return time.Millisecond
	case 'u':
		return time.Microsecond
	case 'n':
		return time.Nanosecond
	}
	return 0
}

// SingleValue returns the value of a header field that must occur exactly once, given all values of the field, and "" for
// any other number of values.
func SingleValue(values []string) string {
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// validRequestID reports whether an id consists of 1 to maxRequestIDBytes letters, digits, '-', '_' and '.'.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}
