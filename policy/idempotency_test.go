package policy

import (
	"fmt"
	"testing"
)

// Guards against a second effect of a request and against a rejection that falsely promises no effect, for
// every status of an attempt and every kind of idempotency.
func TestIdempotencyUnderEveryOutcome(t *testing.T) {
	const retried, rejected, failed = "retried", "rejected", "failed"
	for _, tc := range []struct {
		class  int
		status Status
		want   string
	}{
		{0, ErrorResponse, retried}, {0, Rejected, retried}, {0, Timeout, retried}, {0, ConnectFailed, retried},
		{0, Reset, retried}, {0, NeverSent, retried},
		{1, ErrorResponse, retried}, {1, Rejected, retried}, {1, Timeout, retried}, {1, ConnectFailed, retried},
		{1, Reset, retried}, {1, NeverSent, retried},
		{2, ErrorResponse, failed}, {2, Rejected, retried}, {2, Timeout, failed}, {2, ConnectFailed, retried},
		{2, Reset, failed}, {2, NeverSent, retried},
	} {
		t.Run(fmt.Sprintf("class %d status %d", tc.class, tc.status), func(t *testing.T) {
			set := testSettings()
			set.Limits.AllowHedging = false
			r := newRig(t, set, 9)
			id := r.request(tc.class)
			r.advance(20 * ms)
			r.endAttempt(id, tc.status, 20*ms)
			r.advance(200 * ms)
			got := "queued"
			_, isRejected := r.h.rejected[id]
			switch {
			case len(r.sendsOf(id)) == 2:
				got = retried
			case isRejected:
				got = rejected
			case r.h.failed[id]:
				got = failed
			}
			if got != tc.want {
				t.Fatalf("request was %s, want %s", got, tc.want)
			}
			if s := r.sendsOf(id); len(s) == 2 {
				if s[0] == s[1] {
					t.Fatal("request was retried at the endpoint that it had been sent to before")
				}
				ran := tc.status == ErrorResponse || tc.status == Timeout || tc.status == Reset
				if tc.class == 1 && ran && s[0]/2 != s[1]/2 {
					t.Fatalf("request with an idempotency key was sent to %v, want only endpoints of one cell", s)
				}
			}
		})
	}
}

// Guards against repeating a request with an idempotency key after its deduplication window.
func TestDedupWindow(t *testing.T) {
	set := testSettings()
	set.Limits.AllowHedging = false
	set.Classes[1].DedupWindow = 100 * ms
	r := newRig(t, set, 9)
	id := r.request(1)
	r.advance(150 * ms)
	r.endAttempt(id, ErrorResponse, 150*ms)
	r.advance(300 * ms)
	if n := len(r.sendsOf(id)); n != 1 || !r.h.failed[id] {
		t.Fatalf("%d sends, failed %v; want 1 send and a failed request", n, r.h.failed[id])
	}
}
