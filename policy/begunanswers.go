package policy

import "time"

// Answers that have begun: a long answer is timed by its first bytes, and its rest may follow after the
// deadline. The host buffers an answer of unknown length, since another attempt may still replace it, until
// it has ended, proves to be long, or the deadline is near. Then AnswerDue chooses the attempt whose answer
// is passed on as a stream: of those that have shown life, the one that has given most. An answer that has
// shown no life is never passed on; its request gets another final answer in time.

const (
	// PassOnMargin is how long before a request's deadline the host has to call AnswerDue.
	PassOnMargin = 10 * time.Millisecond
	// maxSilence is how long an answer that has begun may send nothing and still show life.
	maxSilence = time.Second
)

// AnswerProgress is what has come of the body of an attempt's answer, as far as the answer may be passed on
// while it is incomplete.
type AnswerProgress struct {
	Bytes  int64         // 0 if the answer can't be passed on before its end
	LastAt time.Duration // time of the latest byte
}

// showsLife reports whether the answer has begun and has not been silent for too long.
func (p AnswerProgress) showsLife(now time.Duration) bool {
	return p.Bytes > 0 && now-p.LastAt <= maxSilence
}

// AnswerDue handles that the final answer of a request is due in PassOnMargin. progress holds an entry for
// each attempt of the request. It returns the index of the attempt whose answer the host has to pass on
// now, and false if there is none. The host ends that attempt as OK even if the deadline passes meanwhile.
func (b *Balancer) AnswerDue(
	now time.Duration, id RequestID, progress []AnswerProgress,
) (index int, passOn bool) {
	r := b.requests[id]
	if r == nil || r.done || r.streaming {
		return 0, false
	}
	index = -1
	for i, p := range progress {
		if i >= len(r.attempts) || !r.attempts[i].inFlight || !p.showsLife(now) {
			continue
		}
		if index < 0 || p.Bytes > progress[index].Bytes {
			index = i
		}
	}
	return index, index >= 0
}
