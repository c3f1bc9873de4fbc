package policy

import "time"

// RequestID identifies a client request. The host chooses it, and reuses none while its
// request is open.
type RequestID uint32

// EndpointID identifies an endpoint. It is opaque: equal ids mean the same endpoint.
type EndpointID uint64

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState uint8

// The states of a listed endpoint. Only a Ready endpoint is sent attempts.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Zone      int // failure domain; Settings.Zone is the node's
	Cell      int // group of endpoints within a zone
	State     EndpointState
	Weight    float64       // relative size, comparable across endpoints; 0: unknown; not used by the policy
	StartedAt time.Duration // time of the latest start; 0: unknown, long past
}

// UpdateKind says how the entries of Balancer.UpdateEndpoints are to be read.
type UpdateKind uint8

// The kinds of an endpoint update.
const (
	DeltaUpdate  UpdateKind = iota // changed entries only
	FullUpdate                     // all endpoints
	CachedUpdate                   // all endpoints as known some time ago
	UpdateFailed                   // a poll failed; the list stays in force
)

// Request is a client's request as it arrives.
type Request struct {
	ID            RequestID
	Class         int           // index into Settings.Classes
	Tenant        int           // index into Settings.Tenants; others have no quota
	TimeRemaining time.Duration // until the client gives up
	WorkHint      time.Duration // the client's estimate of the work on an idle endpoint; 0: unknown
	// BodyIncomplete says that the client is still sending the body. The time of the request and of its
	// attempts begins with Balancer.BodyComplete.
	BodyIncomplete bool
}

// Status says how an attempt ended.
type Status uint8

// The ends of an attempt.
const (
	OK            Status = iota // answered
	ErrorResponse               // the endpoint answered with an error; may have run
	Rejected                    // the endpoint answered that it did not start the request; has not run
	Timeout                     // no answer in time; may have run or still be running
	ConnectFailed               // no connection; has not run
	Reset                       // the connection broke; may have run
	Cancelled                   // cancelled by Host.Cancel; may have run
	NeverSent                   // withdrawn before its first byte; has not run
)

// Outcome reports the end of one attempt. Each Host.Send is followed by one.
type Outcome struct {
	ID          RequestID
	Attempt     int        // index of the attempt, in the order of the sends of this request, from 0
	Endpoint    EndpointID // of the attempt; not used by the policy, which knows it from the send
	Status      Status
	RequestDone bool          // the request has its final answer, by this outcome or an earlier one
	Latency     time.Duration // since the send
}

// Host carries out the actions of a Balancer. They are called from within the Balancer's methods; a Host must
// not call back into the Balancer.
type Host interface {
	// Send starts an attempt. A timeout of 0 lasts until the client gives up.
	Send(id RequestID, endpoint EndpointID, timeout time.Duration)
	// Cancel stops waiting for an attempt in flight.
	Cancel(id RequestID, attempt int)
	// Reject is a final answer that promises that the request had no effect, or that repeating it does no
	// harm. retryAfter is 0 where no time is given.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail is a final answer without a promise.
	Fail(id RequestID)
	// SetTimer asks for a Balancer.Timer event with this token at the given time, after the present event.
	SetTimer(at time.Duration, token uint64)
	// RequestPoll asks for a poll of the endpoint list; called only with Settings.PollEndpoints.
	RequestPoll()
}
