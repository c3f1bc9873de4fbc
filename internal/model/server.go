package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// longAgo is the start of a server that is warm from the beginning.
	longAgo time.Duration = math.MinInt64 / 2
	// minCompaction is the least number of jobs taken from the queue before its memory is released.
	minCompaction = 64
)

// Server is a modelled server. Create it with NewServer. It is not safe for concurrent use.
type Server struct {
	Fault      Fault
	spec       *ServerSpec
	startedAt  time.Duration
	stopped    bool
	overloaded bool
	sequence   uint64 // of the latest job that got a core
	serving    servedJobs
	queue      []Job // jobs that wait, from queueHead on
	queueHead  int
	acceptedAt map[string]time.Duration // by key
	recentWork workMeter                // work that arrived over OverloadDuration
}

// NewServer returns a server that is warm.
func NewServer(spec *ServerSpec) *Server {
	return &Server{
		spec: spec, startedAt: longAgo,
		acceptedAt: map[string]time.Duration{}, recentWork: workMeter{span: spec.OverloadDuration},
	}
}

// Stop stops the server and returns the jobs that it loses.
func (s *Server) Stop() (lost []Job) {
	for i := range s.serving {
		lost = append(lost, s.serving[i].Job)
	}
	lost = append(lost, s.queue[s.queueHead:]...)
	s.serving, s.queue, s.queueHead, s.stopped = nil, nil, 0, true
	return lost
}

// Start starts the server at SlowStartMinCapacity.
func (s *Server) Start(now time.Duration) {
	s.stopped, s.overloaded, s.startedAt = false, false, now
	clear(s.acceptedAt)
	s.recentWork = workMeter{span: s.spec.OverloadDuration}
}

// Overloaded reports whether the server has stopped because it was overloaded.
func (s *Server) Overloaded() bool { return s.overloaded }

// Running reports whether the server is not stopped.
func (s *Server) Running() bool { return !s.stopped }

// JobCount returns how many jobs are served or wait.
func (s *Server) JobCount() int { return len(s.serving) + s.queued() }

// queued returns how many jobs wait.
func (s *Server) queued() int { return len(s.queue) - s.queueHead }

// CapacityShare returns the fraction of its speed that the server has.
func (s *Server) CapacityShare(now time.Duration) float64 {
	k := s.spec
	if k.SlowStartWindow <= 0 || s.startedAt == longAgo || now-s.startedAt >= k.SlowStartWindow {
		return 1
	}
	return k.SlowStartMinCapacity + (1-k.SlowStartMinCapacity)*float64(now-s.startedAt)/float64(k.SlowStartWindow)
}

// Arrive has a job arrive. If it overloads the server, lost are the jobs that the server had.
func (s *Server) Arrive(now time.Duration, j Job, rng *rand.Rand) (outcome Outcome, lost []Job) {
	if s.stopped {
		return Unreachable, nil
	}
	s.recentWork.add(now, j.Work)
	if s.exceedsOverloadMultiple(now) {
		s.overloaded = true
		return Overloaded, s.Stop()
	}
	if s.isDuplicate(now, j) {
		return Duplicate, nil
	}
	if s.Fault.FailureRate > 0 && rng.Float64() < s.Fault.FailureRate {
		return Failed, nil
	}
	switch {
	case len(s.serving) < s.spec.Cores:
		s.serve(now, j)
	case s.queued() >= s.spec.MaxQueued:
		return Rejected, nil
	default:
		s.queue = append(s.queue, j)
	}
	if s.deduplicates(j) {
		s.acceptedAt[j.Key] = now
	}
	return Accepted, nil
}

// exceedsOverloadMultiple reports whether the server was sent more work than it bears while it warms up.
func (s *Server) exceedsOverloadMultiple(now time.Duration) bool {
	k := s.spec
	share := s.CapacityShare(now)
	if share >= 1 || k.OverloadMultiple <= 0 || now-s.startedAt < k.OverloadDuration {
		return false
	}
	capacity := float64(k.Cores) * k.Speed * share
	return s.recentWork.rate(now) > k.OverloadMultiple*capacity
}

// deduplicates reports whether repeats of a job are dropped.
func (s *Server) deduplicates(j Job) bool { return j.Key != "" && s.spec.DedupWindow > 0 }

// isDuplicate reports whether a job repeats one that was accepted within DedupWindow.
func (s *Server) isDuplicate(now time.Duration, j Job) bool {
	if !s.deduplicates(j) {
		return false
	}
	at, accepted := s.acceptedAt[j.Key]
	return accepted && now-at < s.spec.DedupWindow
}

// serve gives a job a core.
func (s *Server) serve(now time.Duration, j Job) {
	k := s.spec
	duration := float64(j.Work) / (k.Speed * s.CapacityShare(now)) *
		(1 + k.SlowdownPerQueued*float64(s.queued())/float64(k.Cores))
	if s.Fault.Slowdown > 0 {
		duration *= s.Fault.Slowdown
	}
	s.sequence++
	heap.Push(&s.serving, servedJob{j, now + max(1, time.Duration(duration)), s.sequence})
}

// NextCompletion returns when the next job's service ends; false if none is served.
func (s *Server) NextCompletion() (time.Duration, bool) {
	if len(s.serving) == 0 {
		return 0, false
	}
	return s.serving[0].endsAt, true
}

// PopCompleted removes and returns a job whose service has ended; false if there is none. The caller decides by
// Fault.Unresponsive whether the job is answered.
func (s *Server) PopCompleted(now time.Duration) (Job, bool) {
	if len(s.serving) == 0 || s.serving[0].endsAt > now {
		return Job{}, false
	}
	completed := heap.Pop(&s.serving).(servedJob)
	if s.queued() > 0 {
		next := s.queue[s.queueHead]
		s.queueHead++
		if s.queueHead > minCompaction && s.queueHead > len(s.queue)/2 {
			s.queue, s.queueHead = append([]Job(nil), s.queue[s.queueHead:]...), 0
		}
		s.serve(completed.endsAt, next)
	}
	return completed.Job, true
}
