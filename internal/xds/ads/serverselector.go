package ads

import (
	"math"
	"time"
)

const (
	// backoffFactor is the ratio of each backoff to the previous one.
	backoffFactor = 1.6
	// backoffJitter is the largest fraction of a backoff that is randomly added or subtracted.
	backoffJitter = 0.2
)

// FailoverOptions are the timing parameters of a ServerSelector.
type FailoverOptions struct {
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// PreferredProbeInterval is the time after which a stream to any other server than the first is closed, to try the
	// first server again.
	PreferredProbeInterval time.Duration
}

// ServerSelector selects among the servers of a control plane, in order of preference. It does no I/O and reads no
// clock. It is not safe for concurrent use.
//
// If a stream breaks, its server is tried again if it responded on the stream; otherwise the next server is tried. The
// backoff grows each time that all servers were tried without a response, or that a stream breaks after a response. It
// starts again from InitialBackoff if a stream with a response lasted for MaxBackoff or longer.
type ServerSelector struct {
	count     int
	options   FailoverOptions
	current   int // index of the server in use, or to be tried next
	tried     int // servers tried without a response, since the last response or backoff
	failures  int // exponent of the next backoff
	openedAt  time.Duration
	responded bool // a response was received on the current stream
}

// NewServerSelector returns a selector among count servers. count must be 1 or more.
func NewServerSelector(count int, o FailoverOptions) *ServerSelector {
	return &ServerSelector{count: count, options: o}
}

// StreamOpened records that a stream to the server that Current returns was opened.
func (s *ServerSelector) StreamOpened(now time.Duration) { s.openedAt, s.responded = now, false }

// ResponseReceived records that a response was received on the stream.
func (s *ServerSelector) ResponseReceived() { s.responded, s.tried = true, 0 }

// Current returns the index, in order of preference, of the server in use, or to be tried next.
func (s *ServerSelector) Current() int { return s.current }

// StreamFailed records that the stream broke, received no response in time, or could not be opened. It returns the time
// to wait before the next stream is opened. draw is a random number, uniform in [0, 1), for the jitter.
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

// nextBackoff returns the next backoff, with jitter, and raises the one after it up to MaxBackoff.
func (s *ServerSelector) nextBackoff(draw float64) time.Duration {
	maxBackoff := float64(s.options.MaxBackoff)
	backoff := float64(s.options.InitialBackoff) * math.Pow(backoffFactor, float64(s.failures))
	if backoff < maxBackoff {
		s.failures++
	}
	backoff = min(backoff, maxBackoff)
	return time.Duration(backoff * (1 + backoffJitter*(2*draw-1)))
}

// ReturnToPreferred reports whether it is time to try the preferred server again. If so, it makes the preferred server
// the Current one, and the caller has to close the stream.
func (s *ServerSelector) ReturnToPreferred(now time.Duration) bool {
	if s.current == 0 || !s.responded || now-s.openedAt < s.options.PreferredProbeInterval {
		return false
	}
	s.current, s.responded = 0, false
	return true
}
