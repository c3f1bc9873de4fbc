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

// clientRequest holds the values that a client draws for a request before its first attempt.
type clientRequest struct {
	class int
	id    string // "cCLASS-NUMBER"; each attempt has a suffix ".ATTEMPT"
	work  time.Duration
	// heedsRetryAfter means that the client waits for the time in Retry-After if that is longer than its own backoff.
	heedsRetryAfter bool
}

// request makes request number n of a class, which was due at a time, with the client's retries, and counts its answer.
func (r *run) request(ctx context.Context, class, n int, due time.Time) {
	q := r.newRequest(class, n, due)
	clients := &r.experiment.Day.Clients
	for attempt := 0; ; attempt++ {
		status, retryAfter := r.attempt(ctx, &q, attempt)
		took := time.Since(due)
		if attempt < clients.Retries && r.mayRetry(class, status) {
			wait := clients.Backoff
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

// newRequest draws a request of a class and counts it as requested.
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
	q.heedsRetryAfter = random.Float64() < r.experiment.Day.Clients.HonorRetryAfter
	tally := &r.result.Classes[class]
	tally.Requests++
	tally.RequestedWeight += c.PriorityWeight
	r.secondOf(due).offered += c.PriorityWeight
	return q
}

// mayRetry reports whether a client may retry a request of a class after a status; 0: there was no answer.
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

// secondOf returns the weights of the second in which a time lies. Times after the last second count for that second.
func (r *run) secondOf(due time.Time) *weightInSecond {
	return &r.seconds[min(int(due.Sub(r.began)/time.Second), len(r.seconds)-1)]
}

// countAnswer counts the final status of a request of a class, 0 for no answer. took is the time since the request was due
// in the given second.
func (r *run) countAnswer(class, status int, took time.Duration, second *weightInSecond) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tally := &r.result.Classes[class]
	switch status {
	case http.StatusOK:
		tally.Latencies.RecordValue(max(1, took.Microseconds()))
		second.earned += countSuccess(tally, &r.experiment.Day.Classes[class], took)
	case http.StatusServiceUnavailable:
		tally.Rejected++
	default:
		tally.Failed++
	}
}

// countSuccess counts an answer with status 200 as late or within the latency objective, and returns its earned weight.
func countSuccess(tally *fleetsim.ClassResult, c *fleetsim.Class, took time.Duration) float64 {
	weight := c.PriorityWeight
	if c.LatencyObjective > 0 && took > c.LatencyObjective {
		tally.Late++
		weight *= c.LateWeight
	} else {
		tally.WithinObjective++
	}
	tally.EarnedWeight += weight
	return weight
}

// attempt makes one attempt of a request, numbered from 0. It returns the answer's status, 0 if there is no complete
// answer, and its Retry-After.
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
