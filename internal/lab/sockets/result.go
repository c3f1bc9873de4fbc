package sockets

import (
	"strconv"
	"strings"

	"yokestall/policy"
)

// finish completes the result after all attempts have been counted. It adds the effects and overloads that the servers
// counted, the number of extra attempts and the service of each second.
func (r *run) finish() {
	effects := r.countEffects()
	for request, count := range effects {
		if count > 1 && r.isNotIdempotent(request) {
			r.result.DuplicateEffects++
		}
	}
	requests := int64(0)
	for _, tally := range r.result.Classes {
		requests += tally.Requests
	}
	r.result.ExtraAttempts = max(0, r.result.Attempts-requests)
	for _, second := range r.seconds {
		share := 1.0
		if second.offered > 0 {
			share = second.earned / second.offered
		}
		r.result.ServiceBySecond = append(r.result.ServiceBySecond, share)
	}
}

// countEffects returns the number of effects of each request, by the request's id without the suffix of the attempt. It
// adds the servers' overloads to the result.
func (r *run) countEffects() map[string]int {
	byRequest := map[string]int{}
	for _, s := range r.servers {
		byAttempt, overloads := s.Effects()
		r.result.OverloadedServers += int64(overloads)
		for id, count := range byAttempt {
			request, _, _ := strings.Cut(id, ".")
			byRequest[request] += count
		}
	}
	return byRequest
}

// isNotIdempotent reports whether the request with an id is of a class that is not idempotent.
func (r *run) isNotIdempotent(request string) bool {
	class, _, _ := strings.Cut(strings.TrimPrefix(request, "c"), "-")
	i, err := strconv.Atoi(class)
	return err == nil && r.experiment.Day.Classes[i].Idempotency == policy.NotIdempotent
}
