// Package ingress holds what every front needs to know of a request before it hands it on: where
// it goes (Destination), why it goes nowhere (Rejection), and what its header fields ask for
// (Terms). It is pure.
package ingress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// Destination is what a Router makes of a request: the cluster that decides on it, and
// the class that it has there.
type Destination struct {
	Cluster       Handler
	Class         int // as in the cluster's settings
	Idempotency   policy.Idempotency
	DedupWindow   time.Duration  // for policy.IdempotentByKey: how long servers drop a repeat
	Deadline      time.Duration  // the longest that a client of the class waits
	Tenants       map[string]int // name to index; nil if requests have none
	MaxRetryAfter time.Duration  // what a client that finds no place is told to wait; 0: nothing
	MaxAttempts   int            // less than the cluster's limit; 0: that one holds
	PerTryTimeout time.Duration  // the longest that an attempt is waited for; 0: no such limit
	// TenantsByCertificate are tenants by names in clients' certificates: one that shows such a name is
	// that tenant, whatever X-Tenant-Id says.
	TenantsByCertificate map[string]int
	StreamLimits         h1client.StreamLimits
	// RequestEdits and ResponseEdits change fields on their way; nil: they stay.
	RequestEdits, ResponseEdits HeaderEditor
	// PickEndpoint has a calling proxy send the request itself, to the server that it is told.
	PickEndpoint bool
}

// HeaderEditor changes fields; names are canonical.
type HeaderEditor interface{ Apply(h map[string][]string) }

// Handler decides on a request and returns its one answer; *engine.Cluster is one.
type Handler interface {
	Do(ctx context.Context, r *engine.Request) (engine.Answer, error)
}

// Router finds the destination of a request. An error ends it: a *Rejection is
// answered as it says.
type Router interface {
	Route(r *http.Request) (Destination, error)
}

// Rejection is why a request gets to no server.
type Rejection struct {
	Status         int
	Message        string
	AllowedMethods string        // for 405
	Location       string        // for 3xx
	RetryAfter     time.Duration // for 503; 0: nothing to advise
}

func (b *Rejection) Error() string { return b.Message }

// BadRequest is the Rejection of a request that makes no sense.
func BadRequest(text string) error { return &Rejection{Status: http.StatusBadRequest, Message: text} }

// Attributes are what a request's fields ask for.
type Attributes struct {
	ID             string        // X-Request-Id; "": it has none
	Tenant         int           // by X-Tenant-Id
	Timeout        time.Duration // the least of the class's, X-Timeout-Ms and Grpc-Timeout
	WorkHint       time.Duration // X-Cost; 0: none
	IdempotencyKey string        // Idempotency-Key; "" but for policy.IdempotentByKey
}

// ReadAttributes reads a request's fields. Strict has an id, a time and, where there are tenants, a tenant be
// there, and knows nothing of gRPC.
func ReadAttributes(h http.Header, to *Destination, strict bool) (Attributes, error) {
	t := Attributes{Timeout: to.Deadline}
	if strict || len(h["X-Request-Id"]) > 0 {
		if t.ID = SingleValue(h["X-Request-Id"]); !validRequestID(t.ID) {
			return t, BadRequest("X-Request-ID is missing or malformed")
		}
	}
	if len(to.Tenants) > 0 && (strict || len(h["X-Tenant-Id"]) > 0) {
		var ok bool
		if t.Tenant, ok = to.Tenants[SingleValue(h["X-Tenant-Id"])]; !ok {
			return t, BadRequest("X-Tenant-Id is missing or unknown")
		}
	}
	if d, ok := ParseGRPCTimeout(SingleValue(h["Grpc-Timeout"])); ok && !strict {
		t.Timeout = min(t.Timeout, d)
	}
	if strict || len(h["X-Timeout-Ms"]) > 0 {
		ms, err := strconv.ParseUint(SingleValue(h["X-Timeout-Ms"]), 10, 31)
		if err != nil || ms == 0 {
			return t, BadRequest("X-Timeout-Ms is missing or no whole number of milliseconds")
		}
		t.Timeout = min(t.Timeout, time.Duration(ms)*time.Millisecond)
	}
	if cost := SingleValue(h["X-Cost"]); cost != "" {
		us, _ := strconv.ParseUint(cost, 10, 31) // a guess only: 0 is none
		t.WorkHint = time.Duration(us) * time.Microsecond
	}
	if to.Idempotency == policy.IdempotentByKey {
		if t.IdempotencyKey = SingleValue(h["Idempotency-Key"]); t.IdempotencyKey == "" {
			return t, BadRequest("Idempotency-Key is missing")
		}
	}
	return t, nil
}

// ParseGRPCTimeout reads a call's time (gRPC over HTTP2, "Timeout"): up to eight digits and a unit.
func ParseGRPCTimeout(text string) (time.Duration, bool) {
	units := map[byte]time.Duration{
		'H': time.Hour, 'M': time.Minute, 'S': time.Second, 'm': time.Millisecond, 'u': time.Microsecond, 'n': 1,
	}
	if len(text) < 2 || len(text) > 9 {
		return 0, false
	}
	unit := units[text[len(text)-1]]
	n, err := strconv.ParseUint(text[:len(text)-1], 10, 32)
	return min(time.Duration(n), 1<<62/max(1, unit)) * unit, err == nil && unit > 0
}

// SingleValue gives the value of a field that must come once, "" otherwise.
func SingleValue(values []string) string {
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

func validRequestID(id string) bool {
	if id == "" || len(id) > 128 {
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

// FormatRetryAfter writes a Retry-After. RFC 9110, 10.2.3 has whole seconds; the platform's clients, and
// those of this program, read parts of them too.
func FormatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
