package engine

import (
	"testing"
	"time"

	"yokestall/policy"
)

// Guards against a begun answer that is lost because its exchanger is late to pass it on, and against a request that waits for an
// exchanger that never does.
func TestAnswerIsPassedOnAtItsDeadline(t *testing.T) {
	const timeout = 50 * time.Millisecond
	for name, c := range map[string]struct {
		late       time.Duration // how long after the request to pass on the exchanger returns; negative: when it is stopped
		wantServed bool
	}{
		"at once":            {0, true},
		"after the deadline": {passOnTimeout / 2, true},
		"never":              {-1, false},
	} {
		t.Run(name, func(t *testing.T) {
			cl := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
				call.BeginSend()
				requested := make(chan struct{})
				call.OnPassOn(func() { close(requested) })
				call.ReportBody(100)
				select {
				case <-requested:
				case <-call.Context().Done():
					return Result{Status: policy.Cancelled}
				}
				call.OnPassOn(nil)
				if c.late < 0 {
					<-call.Context().Done()
					return Result{Status: policy.Cancelled}
				}
				time.Sleep(c.late)
				return Result{Status: policy.OK, Answer: "begun"}
			}), 1)
			start := time.Now()
			a, err := cl.Do(t.Context(), cl.request(notIdempotent, timeout))
			if err != nil || (a.Verdict == Served) != c.wantServed {
				t.Errorf("got %+v, error %v; want served %v", a, err, c.wantServed)
			}
			if took := time.Since(start); took > timeout+passOnTimeout+250*time.Millisecond {
				t.Errorf("answered after %v, want at most %v", took, timeout+passOnTimeout)
			}
		})
	}
}
