package model

import "time"

const (
	// overloadMargin is the share of OverloadMultiple up to which HasCapacityFor reports capacity.
	overloadMargin = 0.9
	// minOverloadSeconds is the minimum OverloadDuration, in seconds, that is used as a divisor.
	minOverloadSeconds = 1e-3
)

// ExpectedWait returns the expected time for which a job that arrived now would wait for a core. The prediction uses the
// current jobs and the current speed.
func (s *Server) ExpectedWait(now time.Duration) time.Duration {
	k := s.spec
	if len(s.serving) < k.Cores {
		return 0
	}
	queuedWork := time.Duration(0)
	for _, j := range s.queue[s.queueHead:] {
		queuedWork += j.Work
	}
	slowdown := max(1, s.Fault.Slowdown)
	capacity := float64(k.Cores) * k.Speed * s.CapacityShare(now)
	return max(0, s.serving[0].endsAt-now) + time.Duration(float64(queuedWork)*slowdown/capacity)
}

// HasCapacityFor reports whether the server can accept the given work now without being overloaded.
func (s *Server) HasCapacityFor(now, work time.Duration) bool {
	k := s.spec
	if s.stopped || len(s.serving) >= k.Cores && s.queued() >= k.MaxQueued {
		return false
	}
	share := s.CapacityShare(now)
	if share >= 1 || k.OverloadMultiple <= 0 {
		return true
	}
	rate := s.recentWork.rate(now) + work.Seconds()/max(k.OverloadDuration.Seconds(), minOverloadSeconds)
	return rate <= overloadMargin*k.OverloadMultiple*float64(k.Cores)*k.Speed*share
}
