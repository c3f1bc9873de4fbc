package ingress

import (
	"net/http"
	"strconv"
	"time"

	"yokestall/policy"
)

const (
	// maxRequestIDBytes limits the length of X-Request-Id.
	maxRequestIDBytes = 128
	// maxGRPCTimeoutDigits limits the digits of Grpc-Timeout (gRPC over HTTP2, "TimeoutValue").
	maxGRPCTimeoutDigits = 8
	// maxGRPCTimeout is half of what a time.Duration can hold: added to a time on the clock, it does not overflow.
	maxGRPCTimeout time.Duration = 1 << 62
)

// Attributes are what a request's header fields say of it.
type Attributes struct {
	ID             string        // X-Request-Id; "": it has none
	Tenant         int           // by X-Tenant-Id
	Timeout        time.Duration // the least of the class's deadline, X-Timeout-Ms and Grpc-Timeout
	WorkHint       time.Duration // X-Cost, which is in microseconds; 0: none
	IdempotencyKey string        // Idempotency-Key; "" except for policy.IdempotentByKey
}

// ReadAttributes reads a request's header fields. With strict, X-Request-Id, X-Timeout-Ms and, where there are tenants,
// X-Tenant-Id are mandatory, and Grpc-Timeout has no effect. An error is a *Rejection; the attributes that were read
// before it are returned too.
func ReadAttributes(h http.Header, to *Destination, strict bool) (Attributes, error) {
	a := Attributes{Timeout: to.Deadline}
	if strict || len(h["X-Request-Id"]) > 0 {
		if a.ID = SingleValue(h["X-Request-Id"]); !validRequestID(a.ID) {
			return a, BadRequest("X-Request-ID is missing or malformed")
		}
	}
	if len(to.Tenants) > 0 && (strict || len(h["X-Tenant-Id"]) > 0) {
		var ok bool
		if a.Tenant, ok = to.Tenants[SingleValue(h["X-Tenant-Id"])]; !ok {
			return a, BadRequest("X-Tenant-Id is missing or unknown")
		}
	}
	var err error
	if a.Timeout, err = readTimeout(h, to.Deadline, strict); err != nil {
		return a, err
	}
	if cost := SingleValue(h["X-Cost"]); cost != "" {
		us, _ := strconv.ParseUint(cost, 10, 31) // only an estimate: one that can't be read is none
		a.WorkHint = time.Duration(us) * time.Microsecond
	}
	if to.Idempotency == policy.IdempotentByKey {
		if a.IdempotencyKey = SingleValue(h["Idempotency-Key"]); a.IdempotencyKey == "" {
			return a, BadRequest("Idempotency-Key is missing")
		}
	}
	return a, nil
}

// readTimeout returns how long the client waits, at most the class's deadline.
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

// ParseGRPCTimeout parses a call's timeout (gRPC over HTTP2, "Timeout"): up to eight digits and a unit. Longer
// timeouts than maxGRPCTimeout are lowered to about that; false: the text is malformed.
func ParseGRPCTimeout(text string) (time.Duration, bool) {
	if len(text) < 2 || len(text) > maxGRPCTimeoutDigits+1 {
		return 0, false
	}
	digits, unit := text[:len(text)-1], grpcTimeoutUnit(text[len(text)-1])
	n, err := strconv.ParseUint(digits, 10, 32)
	return min(time.Duration(n), maxGRPCTimeout/max(1, unit)) * unit, err == nil && unit > 0
}

// grpcTimeoutUnit returns the duration of a unit; 0: there is no such unit.
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

// SingleValue returns the value of a field that has to be there once; "" if it is not.
func SingleValue(values []string) string {
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// validRequestID reports whether an id has letters, digits, '-', '_' and '.' alone, and at least one of them.
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
