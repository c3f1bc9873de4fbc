// Package model is a model of the servers and clients of a fleet. It is pure: time and random
// numbers are passed in. A simulation drives it on virtual time; stand-ins on sockets can take their
// service times from it.
package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// ServerSpec is what servers are like that are alike.
type ServerSpec struct {
	Cores     int     // jobs that are served at once, 1 or more
	Speed     float64 // of a core; a job's work takes work/speed; above 0
	MaxQueued int     // jobs that wait at most; what comes then is turned away unseen
	// SlowdownPerQueued slows each job by this share for each job a core that waits as it begins.
	SlowdownPerQueued float64
	// A server starts at SlowStartMinCapacity of its speed, from above 0 to 1, and is warm, in a straight line,
	// after ColdFor. Sent more than FallMultiple of what it can do at the time, over FallFor, a cold
	// one falls over: its jobs are lost, and it stays down.
	SlowStartMinCapacity float64
	SlowStartWindow      time.Duration
	OverloadMultiple     float64
	OverloadDuration     time.Duration
	// DedupWindow is for how long a server drops what it has seen the key of; 0: it drops nothing.
	DedupWindow time.Duration
}

// Job is a request at a server.
type Job struct {
	ID   uint64
	Work time.Duration // on one core of speed 1
	Key  string        // dropped if it comes again; "": never
}

// Fault is what is wrong with a server for a time.
type Fault struct {
	Slowdown     float64 // service takes so many times as long; 0: 1
	Unresponsive bool    // jobs are taken and nothing comes back
	FailureRate  float64 // share of the jobs that fail at once
}

// Outcome is what becomes of a job as it comes.
type Outcome uint8

// The fates.
const (
	Accepted    Outcome = iota
	Rejected            // turned away, unseen
	Failed              // an error at once, with no effect
	Duplicate           // its key has been seen: it is answered, with no further effect
	Unreachable         // the server is down
	Overloaded          // with this one it falls over
)

// Server is one. Create it with NewServer.
type Server struct {
	Fault   Fault
	kind    *ServerSpec
	started time.Duration // long past for a warm one
	down    bool
	fallen  bool
	seq     uint64
	serving jobs
	waiting []Job // from head on
	head    int
	seen    map[string]time.Duration
	sent    meter
}

// NewServer makes a warm one.
func NewServer(k *ServerSpec) *Server {
	return &Server{kind: k, started: math.MinInt64 / 2, seen: map[string]time.Duration{}, sent: meter{span: k.OverloadDuration}}
}

// Stop ends the server with all its jobs, which it gives.
func (s *Server) Stop() (lost []Job) {
	for i := range s.serving {
		lost = append(lost, s.serving[i].Job)
	}
	lost = append(lost, s.waiting[s.head:]...)
	s.serving, s.waiting, s.head, s.down = nil, nil, 0, true
	return lost
}

// Start starts the server cold.
func (s *Server) Start(now time.Duration) {
	s.down, s.fallen, s.started = false, false, now
	clear(s.seen)
	s.sent = meter{span: s.kind.OverloadDuration}
}

// Overloaded tells whether the server has fallen over.
func (s *Server) Overloaded() bool { return s.fallen }

// Running tells whether it serves.
func (s *Server) Running() bool { return !s.down }

// CapacityShare is the share of its speed that the server has.
func (s *Server) CapacityShare(now time.Duration) float64 {
	k := s.kind
	if k.SlowStartWindow <= 0 || now-s.started >= k.SlowStartWindow || s.started < 0 && s.started == math.MinInt64/2 {
		return 1
	}
	return k.SlowStartMinCapacity + (1-k.SlowStartMinCapacity)*float64(now-s.started)/float64(k.SlowStartWindow)
}

// Arrive takes a job. Where the server falls over, lost are the jobs it had.
func (s *Server) Arrive(now time.Duration, j Job, rng *rand.Rand) (f Outcome, lost []Job) {
	if s.down {
		return Unreachable, nil
	}
	k := s.kind
	share := s.CapacityShare(now)
	if s.sent.add(now, j.Work); share < 1 && k.OverloadMultiple > 0 && now-s.started >= k.OverloadDuration {
		if can := float64(k.Cores) * k.Speed * share; s.sent.rate(now) > k.OverloadMultiple*can {
			s.fallen = true
			return Overloaded, s.Stop()
		}
	}
	if j.Key != "" && k.DedupWindow > 0 {
		if at, ok := s.seen[j.Key]; ok && now-at < k.DedupWindow {
			return Duplicate, nil
		}
	}
	if s.Fault.FailureRate > 0 && rng.Float64() < s.Fault.FailureRate {
		return Failed, nil
	}
	switch {
	case len(s.serving) < k.Cores:
		s.begin(now, j)
	case len(s.waiting)-s.head >= k.MaxQueued:
		return Rejected, nil
	default:
		s.waiting = append(s.waiting, j)
	}
	if j.Key != "" && k.DedupWindow > 0 {
		s.seen[j.Key] = now
	}
	return Accepted, nil
}

func (s *Server) begin(now time.Duration, j Job) {
	k := s.kind
	took := float64(j.Work) / (k.Speed * s.CapacityShare(now)) * (1 + k.SlowdownPerQueued*float64(len(s.waiting)-s.head)/float64(k.Cores))
	if s.Fault.Slowdown > 0 {
		took *= s.Fault.Slowdown
	}
	s.seq++
	heap.Push(&s.serving, serving{j, now + max(1, time.Duration(took)), s.seq})
}

// ExpectedWait is how long a job that came now would wait for a core, as far as the present jobs and speed tell.
func (s *Server) ExpectedWait(now time.Duration) time.Duration {
	k := s.kind
	if len(s.serving) < k.Cores {
		return 0
	}
	work := time.Duration(0)
	for _, j := range s.waiting[s.head:] {
		work += j.Work
	}
	slow := max(1, s.Fault.Slowdown)
	return max(0, s.serving[0].ends-now) + time.Duration(float64(work)*slow/(float64(k.Cores)*k.Speed*s.CapacityShare(now)))
}

// HasCapacityFor tells whether the server could be sent this much more work now without falling over, and has a place.
func (s *Server) HasCapacityFor(now, work time.Duration) bool {
	k := s.kind
	if s.down || len(s.serving) >= k.Cores && len(s.waiting)-s.head >= k.MaxQueued {
		return false
	}
	share := s.CapacityShare(now)
	if share >= 1 || k.OverloadMultiple <= 0 {
		return true
	}
	return s.sent.rate(now)+work.Seconds()/max(k.OverloadDuration.Seconds(), 1e-3) <= 0.9*k.OverloadMultiple*float64(k.Cores)*k.Speed*share
}

// NextCompletion is when a job's service ends; false: none is served.
func (s *Server) NextCompletion() (time.Duration, bool) {
	if len(s.serving) == 0 {
		return 0, false
	}
	return s.serving[0].ends, true
}

// PopCompleted gives a job whose service has ended; false: none has. Whether its answer goes out is for
// Trouble.Silent to say.
func (s *Server) PopCompleted(now time.Duration) (Job, bool) {
	if len(s.serving) == 0 || s.serving[0].ends > now {
		return Job{}, false
	}
	at := s.serving[0].ends
	j := heap.Pop(&s.serving).(serving).Job
	if s.head < len(s.waiting) {
		next := s.waiting[s.head]
		if s.head++; s.head > 64 && s.head > len(s.waiting)/2 {
			s.waiting, s.head = append([]Job(nil), s.waiting[s.head:]...), 0
		}
		s.begin(at, next)
	}
	return j, true
}

// JobCount counts the jobs that are served and that wait.
func (s *Server) JobCount() int { return len(s.serving) + len(s.waiting) - s.head }

type serving struct {
	Job
	ends time.Duration
	seq  uint64
}

type jobs []serving

func (d jobs) Len() int { return len(d) }
func (d jobs) Less(i, j int) bool {
	return d[i].ends < d[j].ends || d[i].ends == d[j].ends && d[i].seq < d[j].seq
}
func (d jobs) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *jobs) Push(x any) { *d = append(*d, x.(serving)) }

// Pop implements heap.Interface.
func (d *jobs) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// meter sums work over the latest span, in tenths of it.
type meter struct {
	span  time.Duration
	parts [10]time.Duration
	at    int64 // which tenth, counted from 0, parts ends with
}

func (m *meter) move(now time.Duration) {
	if m.span <= 0 {
		return
	}
	at := int64(now / (m.span / 10))
	for n := min(at-m.at, 10); n > 0; n-- {
		m.parts[(at-n+1)%10] = 0
	}
	m.at = max(m.at, at)
}

func (m *meter) add(now, work time.Duration) {
	m.move(now)
	m.parts[m.at%10] += work
}

// rate is the work a second, in seconds.
func (m *meter) rate(now time.Duration) float64 {
	m.move(now)
	sum := time.Duration(0)
	for _, p := range m.parts {
		sum += p
	}
	return float64(sum) / float64(max(1, m.span))
}

// Spread draws factors around a mean of 1.
type Spread struct {
	CV float64 // coefficient of variation
	// TailProbability is the share of draws that are ten times as long.
	TailProbability float64
	// Exponential draws from an exponential distribution in place of a lognormal one; CV is 1 then.
	Exponential bool
}

// Draw gives a factor.
func (s Spread) Draw(rng *rand.Rand) float64 {
	if s.Exponential {
		return rng.ExpFloat64()
	}
	sigma := math.Log(1 + s.CV*s.CV)
	f := math.Exp(rng.NormFloat64()*math.Sqrt(sigma) - sigma/2)
	if s.TailProbability > 0 && rng.Float64() < s.TailProbability {
		f *= 10
	}
	return f
}

// Point is a place of a curve.
type Point struct {
	At    time.Duration
	Value float64
}

// Curve goes in straight lines between its points, whose times grow; before the first and behind the
// last it stays. An empty one is 1.
type Curve []Point

// Value gives the curve's value at a time.
func (c Curve) Value(at time.Duration) float64 {
	if len(c) == 0 {
		return 1
	}
	for i, p := range c {
		if at < p.At {
			if i == 0 {
				return p.Value
			}
			o := c[i-1]
			return o.Value + (p.Value-o.Value)*float64(at-o.At)/float64(p.At-o.At)
		}
	}
	return c[len(c)-1].Value
}

// Max gives the curve's highest value.
func (c Curve) Max() float64 {
	if len(c) == 0 {
		return 1
	}
	m := c[0].Value
	for _, p := range c {
		m = max(m, p.Value)
	}
	return m
}

// NextArrival draws when the next request comes of those that come by themselves at perSecond times the
// curve (a Poisson process, by thinning: Lewis and Shedler, 1979); false: none before end.
func NextArrival(now, end time.Duration, perSecond float64, c Curve, rng *rand.Rand) (time.Duration, bool) {
	most := perSecond * c.Max()
	if most <= 0 {
		return 0, false
	}
	for {
		now += max(1, time.Duration(rng.ExpFloat64()/most*float64(time.Second)))
		if now >= end {
			return 0, false
		}
		if rng.Float64()*most <= perSecond*c.Value(now) {
			return now, true
		}
	}
}
