package engine

import "yokestall/policy"

// Refuser is an endpoint's answer that may be a refusal: it tells the client, by its status or otherwise, that the
// request has not run or can be sent again without harm.
type Refuser interface{ Refuses() bool }

// isRefusal reports whether an answer is a refusal.
func isRefusal(answer any) bool {
	r, ok := answer.(Refuser)
	return ok && r.Refuses()
}

// fallback holds answers of a request's attempts that did not succeed. If no attempt succeeds, the client gets one of
// them, because it says more of the cause than an answer of our own.
//
// An endpoint's answer speaks for one attempt, but the final answer for all of them. A refusal is therefore held apart
// from other answers and only given out if it is true of the whole request.
type fallback struct {
	refusal         any           // latest answer that is a refusal; nil if there is none
	refusalStatus   policy.Status // status of the attempt that refusal answers
	refusalIsLatest bool          // no other answer came after refusal
	other           any           // latest answer that is no refusal; nil if there is none
}

// add holds the answer of an attempt that did not succeed, and closes the answer that it replaces.
func (f *fallback) add(result Result) {
	f.refusalIsLatest = isRefusal(result.Answer)
	if f.refusalIsLatest {
		closeAnswer(f.refusal)
		f.refusal, f.refusalStatus = result.Answer, result.Status
		return
	}
	closeAnswer(f.other)
	f.other = result.Answer
}

// take removes and returns the latest answer that the client may get, or nil if there is none. mayHaveRun says that an
// attempt of the request may have run, and repeatIsHarmless that the client may send the request again even so.
func (f *fallback) take(mayHaveRun, repeatIsHarmless bool) any {
	saysNotRun := f.refusalStatus == policy.Rejected
	refusalAllowed := !mayHaveRun || repeatIsHarmless && !saysNotRun
	if f.refusalIsLatest && refusalAllowed {
		answer := f.refusal
		f.refusal, f.refusalIsLatest = nil, false
		return answer
	}
	answer := f.other
	f.other = nil
	return answer
}

// close closes the answers that were not taken.
func (f *fallback) close() {
	closeAnswer(f.refusal)
	closeAnswer(f.other)
	*f = fallback{}
}
