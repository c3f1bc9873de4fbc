package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// clientTimeout is the timeout that a client sends with its requests. Later answers count as late.
	clientTimeout = 1500 * time.Millisecond
	// clientPause is the time between an answer and the next request of the client.
	clientPause = 10 * time.Millisecond
)

// Sequence of requests of a client. Of each requestCycle requests, number bookingNumber is a booking, number paymentNumber
// is a payment, and the others are reads.
const (
	requestCycle  = 4
	bookingNumber = 1
	paymentNumber = 3
)

// idFormat is the format of request IDs. It contains the number of the client and the number of the request.
const idFormat = "demo-%d-%d"

// counters count requests and their final answers.
type counters struct {
	requests, served, rejected, failed, late atomic.Int64
}

// runClient sends one request after another until ctx ends.
func (d *demo) runClient(ctx context.Context, client int, transport http.RoundTripper) {
	for n := 0; ctx.Err() == nil; n++ {
		r, err := d.newRequest(client, n)
		if err != nil {
			return
		}
		d.counters.requests.Add(1)
		began := time.Now()
		d.send(r, transport).Add(1)
		if time.Since(began) > clientTimeout+d.LatenessTolerance {
			d.counters.late.Add(1)
		}
		select {
		case <-ctx.Done():
		case <-time.After(clientPause):
		}
	}
}

// newRequest returns the request with number n of a client.
func (d *demo) newRequest(client, n int) (*http.Request, error) {
	method, path, body := http.MethodGet, "/hotels/7/rooms", ""
	switch n % requestCycle {
	case bookingNumber:
		method, path, body = http.MethodPost, "/hotels/7/bookings", "{}"
	case paymentNumber:
		method, path, body = http.MethodPost, "/payments/7", "{}"
	}
	r, err := http.NewRequest(method, d.url+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	id := fmt.Sprintf(idFormat, client, n)
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("X-Timeout-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	if n%requestCycle == bookingNumber {
		r.Header.Set("Idempotency-Key", id)
	}
	return r, nil
}

// isPayment reports whether a request ID is that of a payment.
func isPayment(id string) bool {
	var client, n int
	_, err := fmt.Sscanf(id, idFormat, &client, &n)
	return err == nil && n%requestCycle == paymentNumber
}

// send sends a request, reads its answer and returns the counter of its outcome.
func (d *demo) send(r *http.Request, transport http.RoundTripper) *atomic.Int64 {
	c := &d.counters
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return &c.failed
	}
	defer resp.Body.Close()
	if d.keys != nil && resp.ProtoMajor == 2 {
		d.keys.http2Answers.Add(1)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return &c.failed
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return &c.served
	case http.StatusServiceUnavailable:
		return &c.rejected
	}
	return &c.failed
}
