package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"yokestall/internal/gracefulclose"
	"yokestall/internal/hotrestart"
)

const (
	// arrivalPeriod is how long after SIGTERM the platform's routing of clients still sends connections to a
	// node, and how long no request must have arrived for the shutdown to end early.
	arrivalPeriod = 500 * time.Millisecond
	// shutdownAfterDeadline is what a shutdown may take beyond the longest deadline. It ends 0.2 s before the
	// platform's process supervisor kills the node: that is 0.7 s after the longest deadline, of which the
	// supervisor counts maxCountedDeadline at most.
	shutdownAfterDeadline = 500 * time.Millisecond
	maxCountedDeadline    = 3 * time.Second
	// closingPeriod is the last part of a shutdown, in which no request is accepted. abortPeriod is the
	// end of it, in which requests that are still open are answered.
	closingPeriod = 300 * time.Millisecond
	abortPeriod   = 50 * time.Millisecond
	// idleDivisor gives the part of a shutdown for which a connection may be idle in a process that has
	// a successor: longer than the pause between most clients' requests, and short enough that all
	// connections end in time.
	idleDivisor = 3
)

// shutdownPlan is the schedule of a shutdown. Its times count from the shutdown's start.
type shutdownPlan struct {
	total time.Duration // when the shutdown is over
}

func planShutdown(longestDeadline time.Duration) shutdownPlan {
	return shutdownPlan{min(longestDeadline, maxCountedDeadline) + shutdownAfterDeadline}
}

// accepts reports whether requests are still accepted. Clients may have no other node: they are served
// while they send requests and the time allows. lastRequest is when a request last arrived; negative if
// that was before the shutdown.
func (p shutdownPlan) accepts(now, lastRequest time.Duration) bool {
	return now < p.total-closingPeriod && now-max(0, lastRequest) < arrivalPeriod
}

// abortAt is when the requests that are still open are answered.
func (p shutdownPlan) abortAt() time.Duration { return p.total - abortPeriod }

// idleTimeout is how long a client's connection may be idle in a process that has a successor.
func (p shutdownPlan) idleTimeout() time.Duration { return p.total / idleDivisor }

// closeCondition decides when the listener of a process that shuts down may be closed.
type closeCondition struct {
	plan  shutdownPlan
	queue gracefulclose.BacklogWatch // of what waits in the kernel, since requests are not accepted any more
}

// met takes one check, which came sinceLast after the one before it. It reports whether the plan has
// ended serving and whatever waited in the kernel has been accepted since.
func (c *closeCondition) met(sinceLast, now, lastRequest time.Duration) bool {
	if c.plan.accepts(now, lastRequest) {
		c.queue = gracefulclose.BacklogWatch{}
		return false
	}
	return c.queue.Poll(sinceLast) || now >= c.plan.abortAt()
}

// shutDown ends serving: it leaves the clients to a successor, or serves them until they leave. All
// requests that were accepted are answered when it returns.
func (n *Node) shutDown(running *runningNode, s *clientServer) error {
	began := time.Now()
	plan := planShutdown(n.cfg.longestDeadline())
	n.log.Info("stopping",
		"longest_deadline_ms", n.cfg.longestDeadline().Milliseconds(), "limit_ms", plan.total.Milliseconds())
	limit, cancel := context.WithDeadline(context.Background(), began.Add(plan.total))
	defer cancel()
	abort := time.AfterFunc(time.Until(began.Add(plan.abortAt())), func() {
		running.cluster.Abort()
		running.httpServer.CloseIdleConnections() // a request on one of these would not be answered any more
	})
	defer abort.Stop()
	if running.restart.successorServing() {
		n.leaveToSuccessor(limit, running, s, plan)
		n.log.Info("clients left to the successor",
			"connections", running.httpServer.Connections(), "elapsed_ms", time.Since(began).Milliseconds())
		return nil
	}
	running.httpServer.FailHealthChecks()
	awaitClose(plan, began, running.httpServer.LastRequestAt)
	running.httpServer.CloseAfterResponses()
	s.listener.Close()
	if err := <-s.failed; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	// Not http.Server.Shutdown: it drops requests that are just being read.
	running.httpServer.Drain(limit)
	return nil
}

// leaveToSuccessor stops accepting at once, as connections that are queued in the kernel or still
// arrive are the successor's, and waits until the clients have left.
func (n *Node) leaveToSuccessor(limit context.Context, running *runningNode, s *clientServer, plan shutdownPlan) {
	s.listener.Close()
	running.restart.advancePhase(hotrestart.PhaseDraining)
	running.httpServer.DrainToSuccessor(limit, plan.idleTimeout())
}

// awaitClose returns when the listener may be closed. lastRequest returns when a request last arrived.
func awaitClose(plan shutdownPlan, began time.Time, lastRequest func() time.Time) {
	condition := closeCondition{plan: plan}
	last := time.Now()
	for {
		time.Sleep(gracefulclose.PollInterval)
		now := time.Now()
		if condition.met(now.Sub(last), now.Sub(began), lastRequest().Sub(began)) {
			return
		}
		last = now
	}
}
