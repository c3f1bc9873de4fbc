package snapshot

import (
	"errors"
	"fmt"
	"math"
	"time"

	"yokestall/internal/discovery"
	"yokestall/policy"
)

// The ranges of the values in a snapshot.
const (
	// MaxEndpoints is the maximum number of endpoints in a snapshot.
	MaxEndpoints = discovery.MaxInstances

	maxOutcomeSummaries  = 16  // per endpoint
	maxOutcomes          = 1e3 // per endpoint, in all summaries together
	maxSamples           = 1e6
	maxConcurrency       = 1e6
	maxWorkPerSecond     = 1e6
	minConcurrency       = 0.1
	maxRequestsPerSecond = 1e9
	minLatencySeconds    = 1e-6
	maxLatencySeconds    = 3600.0
	maxLogInflation      = 20.0 // bounds the natural logarithm of a latency ratio
	maxRelativeLatency   = 1e6
	maxDuration          = time.Hour // bounds the durations of breakers and the ages of outcomes
)

var (
	// ErrClasses says that the policy's state was dropped, since the sender's classes differ from the
	// receiver's or have values out of range. The relative latencies in the state have a meaning only
	// together with the classes' values.
	ErrClasses = errors.New("classes differ or are out of range, policy state dropped")
	// ErrLoadRange says that the policy's state was dropped, since a value of its load is out of range.
	ErrLoadRange = errors.New("load values out of range, policy state dropped")
)

// EndpointCountError says that the endpoints over MaxEndpoints were dropped.
type EndpointCountError struct{ Count int }

// Error implements error.
func (e *EndpointCountError) Error() string {
	return fmt.Sprintf("snapshot has %d endpoints, maximum %d: further endpoints dropped", e.Count, MaxEndpoints)
}

// EndpointRangeError says that an endpoint was dropped, since one of its values is out of range or its outcome
// summaries are not in order.
type EndpointRangeError struct{ ID policy.EndpointID }

// Error implements error.
func (e *EndpointRangeError) Error() string { return fmt.Sprintf("invalid value of endpoint %d", e.ID) }

// dropInvalid drops the parts of the snapshot that are out of range or do not fit the receiver's classes,
// and returns an error for each dropped part. If the classes or the load are invalid, dropInvalid drops
// all of the policy's state.
func (s *Snapshot) dropInvalid(classes []string) (invalid []error) {
	if !s.classesValid(classes) {
		s.Policy = PolicyState{}
		return []error{ErrClasses}
	}
	if !loadValid(s.Policy.Load) {
		s.Policy = PolicyState{}
		return []error{ErrLoadRange}
	}
	if n := len(s.Policy.Endpoints); n > MaxEndpoints {
		invalid = append(invalid, &EndpointCountError{n})
		s.Policy.Endpoints = s.Policy.Endpoints[:MaxEndpoints]
	}
	valid := s.Policy.Endpoints[:0]
	for _, e := range s.Policy.Endpoints {
		if endpointValid(e) {
			valid = append(valid, e)
		} else {
			invalid = append(invalid, &EndpointRangeError{e.ID})
		}
	}
	s.Policy.Endpoints = valid
	return invalid
}

// classesValid reports whether the snapshot has these classes in this order, with values in range.
func (s *Snapshot) classesValid(classes []string) bool {
	if len(s.Classes) != len(classes) || len(s.Policy.Classes) != len(classes) {
		return false
	}
	for i := range classes {
		if s.Classes[i] != classes[i] || !classValid(s.Policy.Classes[i]) {
			return false
		}
	}
	return true
}

// inRange reports whether a number is in a range. NaN is in no range.
func inRange(v, least, most float64) bool { return v >= least && v <= most }

func durationInRange(d time.Duration) bool { return d >= 0 && d <= maxDuration }

func classValid(c policy.ClassSnapshot) bool {
	return inRange(c.UnloadedLatency, minLatencySeconds, maxLatencySeconds) &&
		inRange(c.QueueCost, minLatencySeconds, maxLatencySeconds) &&
		inRange(c.MeanWorkHint, 0, maxLatencySeconds) &&
		inRange(c.UnloadedSamples, 0, maxSamples) &&
		inRange(c.LatencySamples, 0, maxSamples) &&
		inRange(c.WorkHintSamples, 0, maxSamples)
}

func loadValid(l policy.LoadSnapshot) bool {
	return inRange(l.ConcurrencyLimit, minConcurrency, maxConcurrency) &&
		inRange(l.LastGoodLimit, 0, maxConcurrency) &&
		inRange(l.TypicalLatency, minLatencySeconds, maxLatencySeconds) &&
		inRange(math.Abs(l.LatencyInflation), 0, maxLogInflation) &&
		inRange(l.WarmWorkRate, 0, maxWorkPerSecond) &&
		inRange(l.ArrivalRate, 0, maxRequestsPerSecond) &&
		inRange(l.WorkRate, 0, maxRequestsPerSecond)
}

func endpointValid(e Endpoint) bool {
	return e.StartedAtMs >= 0 &&
		inRange(math.Abs(e.UnloadedInflation), 0, maxLogInflation) &&
		inRange(e.UnloadedSamples, 0, maxSamples) &&
		inRange(math.Abs(e.SlowStartCredit), 0, maxLatencySeconds) &&
		e.ConsecutiveFailures >= 0 && e.ConsecutiveFailures <= maxOutcomes &&
		durationInRange(e.OpenDuration) &&
		durationInRange(e.HalfOpenIn) &&
		outcomesValid(e.RecentOutcomes)
}

// outcomesValid reports whether the values of the summaries are in range, and the summaries are in the order
// in which they were recorded, the oldest first.
func outcomesValid(summaries []policy.OutcomeSummary) bool {
	if len(summaries) > maxOutcomeSummaries {
		return false
	}
	total := 0
	for i, o := range summaries {
		if o.Successes < 0 || o.Failures < 0 || !durationInRange(o.Age) || !inRange(o.MeanLatency, 0, maxRelativeLatency) {
			return false
		}
		if i > 0 && o.Age >= summaries[i-1].Age {
			return false
		}
		total += o.Successes + o.Failures
	}
	return total <= maxOutcomes
}
