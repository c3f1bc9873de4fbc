package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// Rejection is the response to a request that is not forwarded. It may be a route's own response or redirect.
type Rejection struct {
	Status         int
	Message        string        // the body
	AllowedMethods string        // the field Allow, for 405
	Location       string        // for 3xx
	RetryAfter     time.Duration // for 503; 0: none
}

// Error implements error.
func (r *Rejection) Error() string { return r.Message }

// BadRequest returns the Rejection of a malformed request.
func BadRequest(message string) error {
	return &Rejection{Status: http.StatusBadRequest, Message: message}
}

// FormatRetryAfter returns the value of Retry-After, in seconds with three decimals. RFC 9110, 10.2.3 has whole
// seconds; the platform's clients, and those of this program, read fractions too.
func FormatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
