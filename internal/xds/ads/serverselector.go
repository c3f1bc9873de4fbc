package ads

import (
	"math"
	"time"
)

const (
	// backoffFactor is the ratio of a backoff to the one before.
	backoffFactor = 1.6
	// backoffJitter is the part of a backoff by which it is varied, to both sides.
	backoffJitter = 0.2
)

// FailoverOptions are the timing of a ServerSelector.
type FailoverOptions struct {
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// PreferredProbeInterval is the time after which a stream to a server that is not the first is closed, to try the
	// first one.
	PreferredProbeInterval time.Duration
}

// ServerSelector selects among the servers of a control plane, in order of preference. It is pure, and its methods are
// for one caller at a time.
//
// A server that responded is tried again first; one that did not is followed by the next. When all were tried without a
// response, or streams break soon after they were opened, the backoff grows.
type ServerSelector struct {
	count     int
	options   FailoverOptions
	current   int // the server in use, or to be tried next
	tried     int // servers tried without a response, since the last response or backoff
	failures  int // exponent of the next backoff
	openedAt  time.Duration
	responded bool // on the present stream
}

// NewServerSelector returns a selector among count servers, 1 or more.
func NewServerSelector(count int, o FailoverOptions) *ServerSelector {
	return &ServerSelector{count: count, options: o}
}

// StreamOpened records that a stream to the Current server was opened.
func (s *ServerSelector) StreamOpened(now time.Duration) { s.openedAt, s.responded = now, false }

// ResponseReceived records that the stream brought a response.
func (s *ServerSelector) ResponseReceived() { s.responded, s.tried = true, 0 }

// Current returns the index, in order of preference, of the server in use, or to be tried next.
func (s *ServerSelector) Current() int { return s.current }

// StreamFailed records that the stream broke, brought no response, or could not be opened. It returns the time to wait
// before the next one; draw is uniform in [0, 1).
func (s *ServerSelector) StreamFailed(now time.Duration, draw float64) (wait time.Duration) {
	if s.responded {
		if now-s.openedAt >= s.options.MaxBackoff {
			s.failures = 0
		}
		s.responded = false
		return s.nextBackoff(draw)
	}
	s.current = (s.current + 1) % s.count
	if s.tried++; s.tried < s.count {
		return 0
	}
	s.tried = 0
	return s.nextBackoff(draw)
}

// nextBackoff returns a backoff and raises the next one.
func (s *ServerSelector) nextBackoff(draw float64) time.Duration {
	maxBackoff := float64(s.options.MaxBackoff)
	backoff := float64(s.options.InitialBackoff) * math.Pow(backoffFactor, float64(s.failures))
	if backoff < maxBackoff {
		s.failures++
	}
	backoff = min(backoff, maxBackoff)
	return time.Duration(backoff * (1 + backoffJitter*(2*draw-1)))
}

// ReturnToPreferred reports whether it is time to try the preferred server again. That is the Current one then, and the
// present stream is to be closed.
func (s *ServerSelector) ReturnToPreferred(now time.Duration) bool {
	if s.current == 0 || !s.responded || now-s.openedAt < s.options.PreferredProbeInterval {
		return false
	}
	s.current, s.responded = 0, false
	return true
}
