package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// longAgo is the start time of a server that is warm from the beginning.
	longAgo time.Duration = math.MinInt64 / 2
	// minCompaction is the number of jobs that must have been taken from the queue before their memory is released.
	minCompaction = 64
)

// Server is a modelled server. Create it with NewServer. It is not safe for concurrent use.
type Server struct {
	Fault      Fault
	spec       *ServerSpec
	startedAt  time.Duration
	stopped    bool
	overloaded bool
	sequence   uint64 // sequence number of the latest job that got a core
	serving    servedJobs
	queue      []Job // waiting jobs, beginning at index queueHead
	queueHead  int
	acceptedAt map[string]time.Duration // time of acceptance by key of the job
	recentWork workMeter                // work that arrived over OverloadDuration
}

// NewServer returns a running server that is warm.
func NewServer(spec *ServerSpec) *Server {
	return &Server{
		spec: spec, startedAt: longAgo,
		acceptedAt: map[string]time.Duration{}, recentWork: workMeter{span: spec.OverloadDuration},
	}
}

// Stop stops the server and returns the lost jobs, both served and waiting.
func (s *Server) Stop() (lost []Job) {
	for i := range s.serving {
		lost = append(lost, s.serving[i].Job)
	}
	lost = append(lost, s.queue[s.queueHead:]...)
	s.serving, s.queue, s.queueHead, s.stopped = nil, nil, 0, true
	return lost
}

// Start starts the server, which begins to warm up at SlowStartMinCapacity.
func (s *Server) Start(now time.Duration) {
	s.stopped, s.overloaded, s.startedAt = false, false, now
	clear(s.acceptedAt)
	s.recentWork = workMeter{span: s.spec.OverloadDuration}
}

// Overloaded reports whether the server has stopped because it was overloaded.
func (s *Server) Overloaded() bool { return s.overloaded }

// Running reports whether the server is not stopped.
func (s *Server) Running() bool { return !s.stopped }

// JobCount returns the number of jobs that are being served or waiting.
func (s *Server) JobCount() int { return len(s.serving) + s.queued() }

// queued returns the number of waiting jobs.
func (s *Server) queued() int { return len(s.queue) - s.queueHead }

// CapacityShare returns the share of its full speed that the server has now, which is 1 unless it is warming up.
func (s *Server) CapacityShare(now time.Duration) float64 {
	k := s.spec
	if k.SlowStartWindow <= 0 || s.startedAt == longAgo || now-s.startedAt >= k.SlowStartWindow {
		return 1
	}
	return k.SlowStartMinCapacity + (1-k.SlowStartMinCapacity)*float64(now-s.startedAt)/float64(k.SlowStartWindow)
}

// Arrive handles the arrival of a job. If the job overloads the server, lost has the jobs that the server loses.
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

// exceedsOverloadMultiple reports whether the server, while warming up, was sent more than OverloadMultiple times its
// capacity. It returns false during the first OverloadDuration after a start.
func (s *Server) exceedsOverloadMultiple(now time.Duration) bool {
	k := s.spec
	share := s.CapacityShare(now)
	if share >= 1 || k.OverloadMultiple <= 0 || now-s.startedAt < k.OverloadDuration {
		return false
	}
	capacity := float64(k.Cores) * k.Speed * share
	return s.recentWork.rate(now) > k.OverloadMultiple*capacity
}

// deduplicates reports whether the server drops duplicates of a job.
func (s *Server) deduplicates(j Job) bool { return j.Key != "" && s.spec.DedupWindow > 0 }

// isDuplicate reports whether a job with the same key was accepted within DedupWindow.
func (s *Server) isDuplicate(now time.Duration, j Job) bool {
	if !s.deduplicates(j) {
		return false
	}
	at, accepted := s.acceptedAt[j.Key]
	return accepted && now-at < s.spec.DedupWindow
}

// serve starts the service of a job on a free core.
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

// NextCompletion returns the time at which the service of the next job ends, or false if no job is being served.
func (s *Server) NextCompletion() (time.Duration, bool) {
	if len(s.serving) == 0 {
		return 0, false
	}
	return s.serving[0].endsAt, true
}

// PopCompleted removes and returns a job whose service has ended, or returns false if there is none. The caller must check
// Fault.Unresponsive to decide whether to answer the job.
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
