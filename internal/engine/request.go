package engine

import (
	"time"

	"yokestall/policy"
)

// Verdict is the kind of a final answer.
type Verdict uint8

// The kinds of a final answer.
const (
	Served   Verdict = iota // by a server; Answer.Value is what the Exchanger gave
	Rejected                // trying again does no harm
	Failed                  // promises nothing
)

// Answer is a request's final answer.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // for Refused; 0: nothing to advise
	Value      any           // for Served; else what a server said last, nil if none did
	From       Source        // for Served
	// MayHaveRun tells that an attempt went out which is not known not to have run.
	MayHaveRun bool
}

// Request is what a front submits, once.
type Request struct {
	Class, Tenant int           // as in the cluster's policy.Settings
	WorkHint      time.Duration // a guess at the work; 0: none
	Deadline      time.Duration // on the Clock: when the final answer must be out
	// BodyIncomplete tells that a part of the request is still on its way from its client: End holds from
	// Cluster.BodyComplete on. Attempts are told Patience as the time that they have, until then.
	BodyIncomplete bool
	UploadTimeout  time.Duration
	Payload        any           // for the Exchanger
	MaxAttempts    int           // less than the cluster's limit; 0: that one holds
	PerTryTimeout  time.Duration // the longest that an attempt is waited for; 0: the Balancer's choice
	// OnLateAnswer, if set, is told what a server says at last to an attempt that was out when the request's
	// time was up or its client left, unless the request was served. Nothing new is sent for it, it
	// keeps its connection for Listen at most, and is called on a goroutine of its own.
	OnLateAnswer      func(answer any)
	LateAnswerTimeout time.Duration
	// SendAllowed, if set, is asked right before an attempt's first byte leaves, on the attempt's goroutine: with false
	// nothing is sent, and unless another attempt is out the request is refused at once, to come back after Again.
	SendAllowed    func() bool
	SendRetryAfter time.Duration
	// ClientDisconnected, if set, is asked in the same place whether the client has gone; with true nothing is
	// sent. Whoever sets it has the context of Do end with it.
	ClientDisconnected func() bool

	id       policy.RequestID
	answer   chan Answer // takes one
	attempts []*attempt
	first    [1]*attempt // where the usual one goes
	out      int         // attempts with no outcome yet
	ended    bool        // has its final answer, or its client left
	served   bool
	ran      bool // an attempt that has ended may have run
	said     any  // Result.Answer of the latest attempt that was not served
	deadline alarm
	window   *window // of a keyed request; nil: it is none
}

// attempt is one send of a request.
type attempt struct {
	Call
	decided time.Duration
	told    bool // the Balancer has its outcome
	lingers bool // it is listened to all the same
	retry   bool // counts in Cluster.retries
	timeout alarm
}

// mayHaveRun tells what an end means for one that was allowed to be sent, or not.
func (a *attempt) mayHaveRun(status policy.Status) bool {
	never := status == policy.Rejected || status == policy.ConnectFailed || status == policy.NeverSent
	return !never && a.gate.Load() == begun
}
