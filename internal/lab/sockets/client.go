package sockets

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"yokestall/internal/fake/modelbox"
	"yokestall/internal/fleetsim"
	"yokestall/policy"
)

// clientRequest is what a client draws for a request before its first attempt.
type clientRequest struct {
	class int
	id    string // "cCLASS-NUMBER"; each attempt has a suffix ".ATTEMPT"
	work  time.Duration
	// heedsRetryAfter tells that the client waits for as long as a rejection advises, if that is longer than its own wait.
	heedsRetryAfter bool
}

// request is request number n of a class, which was due at a time: its attempts until one is final.
func (r *run) request(ctx context.Context, class, n int, due time.Time) {
	q := r.newRequest(class, n, due)
	clients := &r.experiment.Day.Clients
	for attempt := 0; ; attempt++ {
		status, retryAfter := r.attempt(ctx, &q, attempt)
		took := time.Since(due)
		if attempt < clients.Retries && r.mayRetry(class, status) {
			wait := clients.Wait
			if q.heedsRetryAfter {
				wait = max(wait, retryAfter)
			}
			select {
			case <-time.After(wait):
				continue
			case <-ctx.Done():
			}
		}
		r.countAnswer(class, status, took, r.secondOf(due))
		return
	}
}

// newRequest draws a request, and counts it.
func (r *run) newRequest(class, n int, due time.Time) clientRequest {
	c := &r.experiment.Day.Classes[class]
	r.mu.Lock()
	defer r.mu.Unlock()
	random := r.random[class]
	q := clientRequest{
		class: class,
		id:    fmt.Sprintf("c%d-%d", class, n),
		work:  time.Duration(float64(c.Work) * c.Spread.Draw(random)),
	}
	q.heedsRetryAfter = random.Float64() < r.experiment.Day.Clients.Honest
	tally := &r.result.Classes[class]
	tally.Asked++
	tally.Wanted += c.PriorityWeight
	r.secondOf(due).offered += c.PriorityWeight
	return q
}

// mayRetry tells whether a client may retry a request of a class after a status.
func (r *run) mayRetry(class, status int) bool {
	idempotency := r.experiment.Day.Classes[class].Idempotency
	switch status {
	case http.StatusOK:
		return false
	case http.StatusServiceUnavailable:
		return true // a rejection had no effect
	}
	return idempotency != policy.NotIdempotent
}

// secondOf returns the second of a time; what is due after the experiment counts for its last second.
func (r *run) secondOf(due time.Time) *weightInSecond {
	return &r.seconds[min(int(due.Sub(r.began)/time.Second), len(r.seconds)-1)]
}

// countAnswer counts a final answer of a request that was due in a second.
func (r *run) countAnswer(class, status int, took time.Duration, second *weightInSecond) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tally := &r.result.Classes[class]
	switch status {
	case http.StatusOK:
		tally.Times.RecordValue(max(1, took.Microseconds()))
		second.earned += countSuccess(tally, &r.experiment.Day.Classes[class], took)
	case http.StatusServiceUnavailable:
		tally.Refused++
	default:
		tally.Failed++
	}
}

// countSuccess counts an answer with a result, and returns its weight.
func countSuccess(tally *fleetsim.Tally, c *fleetsim.Class, took time.Duration) float64 {
	weight := c.PriorityWeight
	if c.LatencyObjective > 0 && took > c.LatencyObjective {
		tally.Late++
		weight *= c.LateWeight
	} else {
		tally.InAim++
	}
	tally.Worth += weight
	return weight
}

// attempt makes one attempt. It returns the answer's status, 0 for none, and its Retry-After.
func (r *run) attempt(ctx context.Context, q *clientRequest, number int) (status int, retryAfter time.Duration) {
	id := fmt.Sprintf("%s.%d", q.id, number)
	ctx, url, finish := r.deployment.startAttempt(ctx, q.class, id)
	defer func() { finish(status) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("%s/c%d", url, q.class), nil)
	if err != nil {
		return 0, 0
	}
	c := &r.experiment.Day.Classes[q.class]
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Timeout-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	request.Header.Set(modelbox.WorkHeader, strconv.FormatInt(max(1, q.work.Microseconds()), 10))
	if c.Idempotency == policy.IdempotentByKey {
		request.Header.Set("Idempotency-Key", q.id)
	}
	response, err := r.transport.RoundTrip(request)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}
