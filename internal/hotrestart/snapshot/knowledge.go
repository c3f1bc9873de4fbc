// Package snapshot is the form in which what a node knows goes from one of its processes to the
// next, or from one node to another: a snapshot with a version, a sum and the time at which it
// was taken. It is pure. What is damaged, out of range or too old is left out piece by piece; a
// piece that is left out only makes the heir know less.
package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"time"

	"yokestall/internal/discovery"
	"yokestall/policy"
)

// The bounds of a snapshot.
const (
	version = 1
	// MaxAge is how old a snapshot may be. It is what outcomes are kept for: one that is older has
	// nothing left to say of any server.
	MaxAge = 10 * time.Second
	// maxAhead is how far ahead of the heir's clock it may have been taken.
	maxAhead = time.Second
	// MaxServers is how many servers it may hold.
	MaxServers = discovery.MaxInstances
	maxRecent  = 16
	maxKept    = 1000
	maxCount   = 1e6
	maxSeconds = 3600.0
)

// Snapshot is what goes over. Times of starts are Unix milliseconds, so that they hold on the
// heir's clock.
type Snapshot struct {
	Version int    `json:"version"`
	Node    string `json:"node"`
	TakenMs int64  `json:"takenMs"`
	// Classes are the names of the donor's classes, in the order of Known.Classes.
	Classes []string `json:"classes"`
	// List is the list of servers as the donor has it, and its version.
	Generation uint64               `json:"generation"`
	Listed     bool                 `json:"listed"`
	List       []discovery.Instance `json:"list"`
	Module     Module               `json:"module"`
}

// Module is policy.Snapshot with starts in wall time.
type Module struct {
	Classes []policy.ClassSnapshot `json:"classes"`
	Bounds  policy.LoadSnapshot    `json:"bounds"`
	Servers []Server               `json:"servers"`
}

// Server is policy.EndpointSnapshot of a start in wall time; 0: long ago.
type Server struct {
	StartedMs int64 `json:"startedMs"`
	policy.EndpointSnapshot
}

// Clock maps wall time onto the clock of a process and back.
type Clock interface {
	At(wall time.Time) time.Duration
	Wall(at time.Duration) time.Time
}

// FromModule gives the form that goes over.
func FromModule(k policy.Snapshot, clock Clock) Module {
	m := Module{Classes: k.Classes, Bounds: k.Load}
	for _, s := range k.Endpoints {
		ms := int64(0)
		if s.StartedAt > 0 {
			ms = clock.Wall(s.StartedAt).UnixMilli()
		}
		m.Servers = append(m.Servers, Server{ms, s})
	}
	return m
}

// ToModule gives the heir's form.
func (m Module) ToModule(clock Clock) policy.Snapshot {
	k := policy.Snapshot{Classes: m.Classes, Load: m.Bounds}
	for _, s := range m.Servers {
		if s.StartedAt = 0; s.StartedMs > 0 {
			s.StartedAt = clock.At(time.UnixMilli(s.StartedMs))
		}
		k.Endpoints = append(k.Endpoints, s.EndpointSnapshot)
	}
	return k
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode writes a snapshot, with a first line that tells whether the rest is whole.
func Encode(s Snapshot) ([]byte, error) {
	s.Version = version
	text, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("knowledge: %w", err)
	}
	return append(fmt.Appendf(nil, "yokestall-knowledge %d %08x\n", version, crc32.Checksum(text, castagnoli)), text...), nil
}

// Decode reads a snapshot of a node with these classes. An error tells that nothing of it is of
// use; left, what of it was left out.
func Decode(text []byte, node string, classes []string, now time.Time) (s Snapshot, age time.Duration, left []error, err error) {
	head, body, _ := bytes.Cut(text, []byte("\n"))
	var v int
	var sum uint32
	if _, err := fmt.Sscanf(string(head), "yokestall-knowledge %d %08x", &v, &sum); err != nil {
		return s, 0, nil, errors.New("knowledge: not a snapshot")
	}
	switch {
	case v != version:
		return s, 0, nil, fmt.Errorf("knowledge: version %d is not known", v)
	case sum != crc32.Checksum(body, castagnoli):
		return s, 0, nil, errors.New("knowledge: damaged")
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return Snapshot{}, 0, nil, fmt.Errorf("knowledge: %w", err)
	}
	age = now.Sub(time.UnixMilli(s.TakenMs))
	switch {
	case s.Node != node:
		return Snapshot{}, 0, nil, fmt.Errorf("knowledge: of node %q", s.Node)
	case age > MaxAge:
		return Snapshot{}, 0, nil, fmt.Errorf("knowledge: %v old, %v at most", age.Round(time.Millisecond), MaxAge)
	case age < -maxAhead:
		return Snapshot{}, 0, nil, fmt.Errorf("knowledge: taken %v from now", -age.Round(time.Millisecond))
	}
	age = max(0, age)
	return s, age, s.trim(classes), nil
}

// trim leaves out what can't be trusted.
func (s *Snapshot) trim(classes []string) (left []error) {
	leave := func(format string, args ...any) { left = append(left, fmt.Errorf(format, args...)) }
	same := len(classes) == len(s.Classes) && len(s.Module.Classes) == len(classes)
	for i := range classes {
		same = same && classes[i] == s.Classes[i] && goodClass(s.Module.Classes[i])
	}
	if !same { // multiples of a class's latency say nothing without it
		s.Module = Module{}
		leave("classes are others, or out of range: nothing of the module's is taken")
		return left
	}
	if !goodBounds(s.Module.Bounds) {
		s.Module = Module{}
		leave("bounds are out of range: nothing of the module's is taken")
		return left
	}
	if len(s.Module.Servers) > MaxServers {
		leave("%d servers, %d at most", len(s.Module.Servers), MaxServers)
		s.Module.Servers = s.Module.Servers[:MaxServers]
	}
	kept := s.Module.Servers[:0]
	for _, e := range s.Module.Servers {
		if goodServer(e) {
			kept = append(kept, e)
		} else {
			leave("server %d is out of range", e.ID)
		}
	}
	s.Module.Servers = kept
	return left
}

// within tells whether a number lies in a range; NaN does not.
func within(v, least, most float64) bool { return v >= least && v <= most }

func goodClass(c policy.ClassSnapshot) bool {
	return within(c.UnloadedLatency, 1e-6, maxSeconds) && within(c.MeanLatency, 1e-6, maxSeconds) && within(c.MeanWorkHint, 0, maxSeconds) &&
		within(c.UnloadedSamples, 0, maxCount) && within(c.LatencySamples, 0, maxCount) && within(c.WorkHintSamples, 0, maxCount)
}

func goodBounds(b policy.LoadSnapshot) bool {
	return within(b.ConcurrencyLimit, 0.1, maxCount) && within(b.LastGoodLimit, 0, maxCount) && within(b.TypicalLatency, 1e-6, maxSeconds) &&
		within(math.Abs(b.LatencyInflation), 0, 20) && within(b.WarmThroughput, 0, maxCount) && within(b.ArrivalRate, 0, 1e9) && within(b.SendRate, 0, 1e9)
}

func goodServer(s Server) bool {
	good := s.StartedMs >= 0 && within(math.Abs(s.UnloadedInflation), 0, 20) && within(s.UnloadedSamples, 0, maxCount) &&
		within(math.Abs(s.SlowStartCredit), 0, maxSeconds) && s.ConsecutiveFailures >= 0 && s.ConsecutiveFailures <= maxKept &&
		s.OpenDuration >= 0 && s.OpenDuration <= time.Hour && s.ReopenIn >= 0 && s.ReopenIn <= time.Hour && len(s.RecentOutcomes) <= maxRecent
	all := 0
	for i, r := range s.RecentOutcomes {
		good = good && r.Successes >= 0 && r.Failures >= 0 && r.Age >= 0 && r.Age <= time.Hour && within(r.MeanLatency, 0, 1e6)
		good = good && (i == 0 || r.Age < s.RecentOutcomes[i-1].Age) // the oldest first, as they were recorded
		all += r.Successes + r.Failures
	}
	return good && all <= maxKept
}
