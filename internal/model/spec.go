package model

import "time"

// ServerSpec describes servers that are alike.
type ServerSpec struct {
	Cores     int     // jobs that are served at once, 1 or more
	Speed     float64 // of a core, above 0; a job takes its work divided by this
	MaxQueued int     // jobs that wait for a core; further ones are rejected
	// SlowdownPerQueued is the fraction by which a job's service is longer for each job per core that waits when it
	// begins.
	SlowdownPerQueued float64
	// A server starts with SlowStartMinCapacity of its speed, from above 0 to 1, which grows linearly to all of it over
	// SlowStartWindow. If it is sent more than OverloadMultiple of its capacity, over OverloadDuration, meanwhile, it
	// is overloaded: it loses its jobs and stops. An OverloadMultiple of 0 never overloads it.
	SlowStartMinCapacity float64
	SlowStartWindow      time.Duration
	OverloadMultiple     float64
	OverloadDuration     time.Duration
	// DedupWindow is for how long a server drops jobs whose key it has accepted; 0: it drops none.
	DedupWindow time.Duration
}

// Fault is what is wrong with a server for a time. The zero value is nothing.
type Fault struct {
	Slowdown     float64 // the factor by which service takes longer; 0: 1
	Unresponsive bool    // jobs are served, but not answered: the caller of PopCompleted sees to it
	FailureRate  float64 // fraction of the jobs that fail at once, 0 to 1
}
