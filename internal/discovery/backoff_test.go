package discovery

import (
	"testing"
	"time"
)

// Guards against delays that do not double up to Max, that leave the range of the jitter, or that do not start from
// Initial again after a success. The draws alternate between 0 and 1.
func TestBackoff(t *testing.T) {
	backoff := Backoff{Initial: 100 * time.Millisecond, Max: time.Second}
	for i, want := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		want *= time.Millisecond
		if i%2 == 0 {
			want /= 2
		}
		if got := backoff.Next(float64(i % 2)); got != want {
			t.Errorf("delay after failure %d: got %v, want %v", i+1, got, want)
		}
	}
	backoff.Reset()
	if got := backoff.Next(1); got != backoff.Initial {
		t.Errorf("delay after a success and a failure: got %v, want Initial", got)
	}
}
