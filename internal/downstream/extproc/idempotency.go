package extproc

import (
	"net/http"
	"time"

	"yokestall/internal/idempotency"
	"yokestall/internal/idempotency/replay"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// execution is an admitted request in flight that is idempotent by key or not idempotent. Requests with the same key may
// join it, that is, wait for its response.
type execution struct {
	done chan struct{} // closed when the execution has ended

	// The fields below are set before done is closed.

	completion idempotency.Completion
	response   *h1client.Answer // the response for joined requests; nil if there is none that can be shared
	retryAfter time.Duration    // if the request was rejected
}

// admission is the idempotency store's decision on a request.
type admission struct {
	entry     *idempotency.Entry // the request's entry in the store; nil if its class is idempotent
	execution *execution         // the request's own execution, or the one that it joins
}

// admit decides whether the request may run. handled reports that the request was answered instead. Requests of an
// idempotent class always may run. A request that is idempotent by key is identified by its idempotency key, one that
// is not idempotent by its request id. body is part of the request's fingerprint; it is nil for a streamed body and for
// a pick. mayJoin says that the request may wait for the response to an earlier request with the same key; a request
// that is not idempotent never does.
func (p *processingStream) admit(body []byte, mayJoin bool) (a admission, handled bool, err error) {
	if p.destination.Idempotency == policy.Idempotent {
		return admission{}, false, nil
	}
	key := idempotency.Key{Tenant: p.attributes.Tenant, Name: "key " + p.attributes.IdempotencyKey}
	window := p.destination.DedupWindow
	if p.destination.Idempotency == policy.NotIdempotent {
		key.Name, window, mayJoin = "id "+p.attributes.ID, 2*p.destination.Deadline, false
	}
	r := p.request
	fingerprint := replay.Fingerprint(p.destination.Class, r.Method, r.RequestURI, r.Host, body)
	s := p.server
	s.mu.Lock()
	verdict, entry, retryAfter := s.store.Begin(s.Clock.Now(), key, fingerprint, window, mayJoin)
	switch verdict {
	case idempotency.First:
		a = admission{entry: entry, execution: &execution{done: make(chan struct{})}}
		s.executions[entry] = a.execution
	case idempotency.Joined:
		a.execution = s.executions[entry]
	}
	s.mu.Unlock()
	if verdict == idempotency.First {
		return a, false, nil
	}
	return a, true, p.answerDuplicate(verdict, entry, a.execution, retryAfter)
}

// answerDuplicate answers a request that may not run, according to the store's verdict.
func (p *processingStream) answerDuplicate(
	verdict idempotency.Verdict, entry *idempotency.Entry, e *execution, retryAfter time.Duration,
) error {
	switch verdict {
	case idempotency.Joined:
		return p.awaitExecution(entry, e)
	case idempotency.InProgress:
		return p.sendConflict(http.StatusConflict, "a request under this key, or id, is open")
	case idempotency.Replayed:
		if response, ok := entry.Outcome.(*h1client.Answer); ok {
			return p.sendReplay(response)
		}
		return p.sendConflict(http.StatusConflict, "a request under this key, or id, was answered")
	case idempotency.OutcomeUnknown:
		return p.sendConflict(http.StatusConflict, "a request under this key, or id, may have run")
	case idempotency.Mismatch:
		return p.sendConflict(http.StatusUnprocessableEntity, "the key stands for another request")
	}
	return p.sendUnavailable(max(retryAfter, p.destination.MaxRetryAfter))
}

// complete reports the end of an admitted request to the store and to the requests that joined it. response is nil if
// there is none that can be shared. Only the first call for an admission has an effect.
func (s *Server) complete(
	a admission, completion idempotency.Completion, response *h1client.Answer, retryAfter time.Duration,
) {
	if a.entry == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.executions[a.entry] != a.execution {
		return
	}
	delete(s.executions, a.entry)
	e := a.execution
	e.completion, e.response, e.retryAfter = completion, response, retryAfter
	var outcome any
	size := int64(0)
	if response != nil {
		outcome, size = response, replay.AnswerBytes(response)
	}
	s.store.Complete(s.Clock.Now(), a.entry, completion, outcome, size)
	close(e.done)
}

// awaitExecution waits until the execution that the request joined ends, and answers the request by its completion. If
// the request's own deadline comes first, the answer is a failure (502).
func (p *processingStream) awaitExecution(entry *idempotency.Entry, e *execution) error {
	p.server.Stats.Duplicates.Add(1)
	timer := time.NewTimer(p.deadline - p.server.Clock.Now())
	defer timer.Stop()
	select {
	case <-e.done:
	case <-timer.C:
		p.server.removeJoiner(entry)
		return p.sendFailure()
	case <-p.rpc.Context().Done():
		p.server.removeJoiner(entry)
		p.server.Stats.Disconnected.Add(1)
		return p.rpc.Context().Err()
	}
	switch {
	case e.completion == idempotency.Rejected:
		return p.sendUnavailable(e.retryAfter)
	case e.completion == idempotency.Answered && e.response != nil:
		return p.sendReplay(e.response)
	}
	return p.sendFailure()
}

func (s *Server) removeJoiner(entry *idempotency.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.RemoveJoiner(entry)
}

// sendReplay answers with the response to an earlier request with the same idempotency key or request id.
func (p *processingStream) sendReplay(response *h1client.Answer) error {
	p.server.Stats.Served.Add(1)
	fields := response.Header.Clone()
	fields.Set("Idempotent-Replayed", "true")
	return p.send(immediateResponse(response.Status, fields, response.Body, detailsReplayed))
}
