package model

import "time"

// Job is a request at a server.
type Job struct {
	ID   uint64
	Work time.Duration // service time on one core of speed 1
	Key  string        // key by which duplicates are detected; empty if the job has no key
}

// Outcome is the result of the arrival of a job.
type Outcome uint8

// Outcomes of an arrival.
const (
	Accepted    Outcome = iota
	Rejected            // the queue is full, and the job is not executed
	Failed              // the job fails immediately and is not executed
	Duplicate           // a job with the same key was accepted before; this job is answered but not executed
	Unreachable         // the server is stopped
	Overloaded          // the job overloads the server, which stops
)

// servedJob is a job that is being served by a core.
type servedJob struct {
	Job
	endsAt   time.Duration
	sequence uint64 // order among jobs that end at the same time
}

// servedJobs is a heap of jobs, with the job that ends first at the top.
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
