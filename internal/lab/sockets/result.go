package sockets

import (
	"strconv"
	"strings"

	"yokestall/policy"
)

// finish completes the result once all attempts have been counted: what the servers saw, and the share of the weight
// earned in each second.
func (r *run) finish() {
	effects := r.countEffects()
	for request, count := range effects {
		if count > 1 && r.isNotIdempotent(request) {
			r.result.Twice++
		}
	}
	requests := int64(0)
	for _, tally := range r.result.Classes {
		requests += tally.Asked
	}
	r.result.Copies = max(0, r.result.Sends-requests)
	for _, second := range r.seconds {
		share := 1.0
		if second.offered > 0 {
			share = second.earned / second.offered
		}
		r.result.Seconds = append(r.result.Seconds, share)
	}
}

// countEffects returns how often each request took effect, by its id without the attempt, and counts the servers that
// were overloaded.
func (r *run) countEffects() map[string]int {
	byRequest := map[string]int{}
	for _, s := range r.servers {
		byAttempt, overloads := s.Effects()
		r.result.Fallen += int64(overloads)
		for id, count := range byAttempt {
			request, _, _ := strings.Cut(id, ".")
			byRequest[request] += count
		}
	}
	return byRequest
}

// isNotIdempotent tells whether a request, by its id, is of a class that is not idempotent.
func (r *run) isNotIdempotent(request string) bool {
	class, _, _ := strings.Cut(strings.TrimPrefix(request, "c"), "-")
	i, err := strconv.Atoi(class)
	return err == nil && r.experiment.Day.Classes[i].Idempotency == policy.NotIdempotent
}
