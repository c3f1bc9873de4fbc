package engine

import (
	"context"
	"testing"
	"time"

	"yokestall/policy"
)

// refusal is an endpoint's answer that tells the client to send the request again.
type refusal string

func (refusal) Refuses() bool { return true }

// scriptedResult is what an attempt's exchange does: it hangs until the attempt is stopped, or returns the result at
// once.
type scriptedResult struct {
	hang bool
	Result
}

// Guards against refusals of requests that may have run (docs/incidents/0002): the refusal of one endpoint was given
// out although another attempt was out or had failed. A refusal is still given out where it is true, or where a repeat
// is harmless.
func TestRefusalsHoldForTheWholeRequest(t *testing.T) {
	notRun := scriptedResult{Result: Result{Status: policy.Rejected, Answer: refusal("not processed")}}
	unavailable := scriptedResult{Result: Result{Status: policy.ErrorResponse, Answer: refusal("unavailable")}}
	broken := scriptedResult{Result: Result{Status: policy.ErrorResponse, Answer: "broken"}}
	reset := scriptedResult{Result: Result{Status: policy.Reset}}
	tooMany := scriptedResult{Result: Result{Status: policy.OK, Answer: refusal("too many requests")}}
	hang := scriptedResult{hang: true}
	const keyedByZone = notIdempotent + 1
	for name, tc := range map[string]struct {
		class   int
		script  []scriptedResult // of the attempts; the last one is that of all later attempts too
		verdict Verdict
		value   any
	}{
		"not idempotent, turned away, then hangs":     {notIdempotent, []scriptedResult{notRun, hang}, Failed, nil},
		"not idempotent, turned away, then reset":     {notIdempotent, []scriptedResult{notRun, reset}, Failed, nil},
		"not idempotent, turned away, then an error":  {notIdempotent, []scriptedResult{notRun, broken}, Failed, "broken"},
		"not idempotent, turned away each time":       {notIdempotent, []scriptedResult{notRun}, Rejected, notRun.Answer},
		"not idempotent, unavailable":                 {notIdempotent, []scriptedResult{unavailable}, Failed, nil},
		"not idempotent, too many requests":           {notIdempotent, []scriptedResult{tooMany}, Served, tooMany.Answer},
		"not idempotent, turned away, then too many":  {notIdempotent, []scriptedResult{notRun, tooMany}, Served, tooMany.Answer},
		"keyed by zone, turned away, then hangs":      {keyedByZone, []scriptedResult{notRun, hang}, Failed, nil},
		"keyed by zone, an error, then turned away":   {keyedByZone, []scriptedResult{broken, notRun}, Failed, "broken"},
		"keyed by zone, reset, then turned away":      {keyedByZone, []scriptedResult{reset, notRun}, Failed, nil},
		"keyed by zone, reset, then too many":         {keyedByZone, []scriptedResult{reset, tooMany}, Failed, nil},
		"keyed by zone, reset, then unavailable":      {keyedByZone, []scriptedResult{reset, unavailable}, Failed, nil},
		"keyed everywhere, reset, then unavailable":   {idempotentByKey, []scriptedResult{reset, unavailable}, Rejected, unavailable.Answer},
		"idempotent, unavailable each time":           {idempotent, []scriptedResult{unavailable}, Rejected, unavailable.Answer},
		"idempotent, reset, then too many":            {idempotent, []scriptedResult{reset, tooMany}, Served, tooMany.Answer},
		"idempotent, reset, then turned away":         {idempotent, []scriptedResult{reset, notRun}, Rejected, nil},
		"idempotent, an error, then turned away":      {idempotent, []scriptedResult{broken, notRun}, Rejected, "broken"},
		"idempotent, turned away, then an error":      {idempotent, []scriptedResult{notRun, broken}, Rejected, "broken"},
		"keyed by zone, turned away, then too many":   {keyedByZone, []scriptedResult{notRun, tooMany}, Served, tooMany.Answer},
		"keyed everywhere, turned away, then a reset": {idempotentByKey, []scriptedResult{notRun, reset}, Rejected, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			attempts := 0
			script := exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
				step := tc.script[min(attempts, len(tc.script)-1)]
				attempts++ // one attempt at a time
				if !call.BeginSend() {
					return Result{Status: policy.NeverSent}
				}
				if step.hang {
					<-call.Context().Done()
					return Result{Status: policy.Cancelled}
				}
				return step.Result
			})
			set := settings()
			set.Limits.AllowHedging = false
			set.Classes = append(set.Classes, set.Classes[idempotentByKey])
			set.Classes[keyedByZone].DedupScope = policy.ScopeZone
			c, err := New(context.Background(), set, script, Options{Seed: 1, Clock: NewClock()})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.cancel(); <-c.Ended() })
			c.UpdateEndpoints(policy.FullUpdate, readyEndpoints(1, 2, 3))
			r := c.request(tc.class, settings().Classes[tc.class%len(settings().Classes)].Deadline)
			if tc.script[len(tc.script)-1].hang {
				r.PerTryTimeout = 50 * time.Millisecond
			}
			a, err := c.Do(t.Context(), r)
			if err != nil || a.Verdict != tc.verdict || a.Value != tc.value {
				t.Errorf("got verdict %d with value %v, error %v; want verdict %d with value %v",
					a.Verdict, a.Value, err, tc.verdict, tc.value)
			}
		})
	}
}
