package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// Rejection is the response to a request that is not forwarded. It may be a route's direct response or redirect.
type Rejection struct {
	Status         int
	Message        string        // body of the response
	AllowedMethods string        // value of the header field Allow, for status 405
	Location       string        // value of the header field Location, for status 3xx
	RetryAfter     time.Duration // value of the header field Retry-After, for status 503; 0: no field
}

// Error implements error. It returns the response's body.
func (r *Rejection) Error() string { return r.Message }

// BadRequest returns the *Rejection of a malformed request, with status 400 and the message as its body.
func BadRequest(message string) error {
	return &Rejection{Status: http.StatusBadRequest, Message: message}
}

// FormatRetryAfter returns the value of Retry-After for a duration, in seconds with three decimals. RFC 9110, section
// 10.2.3, allows whole seconds only, but the platform's clients and this program's clients accept fractions.
func FormatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
