package model

import "time"

// Job is a request at a server.
type Job struct {
	ID   uint64
	Work time.Duration // on one core of speed 1
	Key  string        // by which a repeat is dropped; "": none
}

// Outcome is what happens to a job on its arrival.
type Outcome uint8

// The outcomes of an arrival.
const (
	Accepted    Outcome = iota
	Rejected            // the queue is full; no effect
	Failed              // an error at once; no effect
	Duplicate           // its key was accepted before; it is answered without a further effect
	Unreachable         // the server is stopped
	Overloaded          // the job overloads the server, which stops
)

// servedJob is a job that has a core.
type servedJob struct {
	Job
	endsAt   time.Duration
	sequence uint64 // orders jobs that end at the same time
}

// servedJobs is a heap, the first to end first.
type servedJobs []servedJob

// Len implements heap.Interface.
func (h servedJobs) Len() int { return len(h) }

// Less implements heap.Interface.
func (h servedJobs) Less(i, j int) bool {
	if h[i].endsAt == h[j].endsAt {
		return h[i].sequence < h[j].sequence
	}
	return h[i].endsAt < h[j].endsAt
}

// Swap implements heap.Interface.
func (h servedJobs) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *servedJobs) Push(x any) { *h = append(*h, x.(servedJob)) }

// Pop implements heap.Interface.
func (h *servedJobs) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
