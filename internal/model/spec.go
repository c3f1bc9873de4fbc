package model

import "time"

// ServerSpec describes the properties that a group of servers has in common.
type ServerSpec struct {
	Cores     int     // number of jobs served concurrently, at least 1
	Speed     float64 // speed of a core, above 0; the service time of a job is its work divided by the speed
	MaxQueued int     // maximum number of jobs waiting for a core; further jobs are rejected
	// SlowdownPerQueued is the fraction by which the service time of a job increases for each waiting job per core. The
	// waiting jobs are counted when the service begins.
	SlowdownPerQueued float64
	// SlowStartMinCapacity is the share of its speed, above 0 and at most 1, with which a server starts. The share grows
	// linearly to 1 over SlowStartWindow. If, while warming up, a server is sent more work than OverloadMultiple times its
	// capacity, averaged over OverloadDuration, the server is overloaded: it loses its jobs and stops. With an
	// OverloadMultiple of 0, a server is never overloaded.
	SlowStartMinCapacity float64
	SlowStartWindow      time.Duration
	OverloadMultiple     float64
	OverloadDuration     time.Duration
	// DedupWindow is the time for which a server drops further jobs with a key that it has accepted. With 0, a server
	// drops no jobs.
	DedupWindow time.Duration
}

// Fault describes a temporary fault of a server. The zero value is no fault.
type Fault struct {
	Slowdown     float64 // factor by which the service time is multiplied; 0 means 1
	Unresponsive bool    // jobs are served but not answered; the caller of PopCompleted must implement this
	FailureRate  float64 // fraction of the jobs that fail immediately, 0 to 1
}
