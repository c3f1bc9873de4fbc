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
	// arrivalPeriod is how long after SIGTERM the platform's routing may still send connections to a node. If no request
	// arrives for this long, the node stops accepting requests early.
	arrivalPeriod = 500 * time.Millisecond
	// shutdownAfterDeadline is how long a shutdown may last beyond the longest deadline. The platform's supervisor kills
	// the node 0.7 s after the longest deadline, where a deadline above maxCountedDeadline counts as maxCountedDeadline,
	// so that a shutdown ends 0.2 s before the kill.
	shutdownAfterDeadline = 500 * time.Millisecond
	maxCountedDeadline    = 3 * time.Second
	// closingPeriod is the last part of a shutdown, in which no request is accepted. abortPeriod is the last part of
	// closingPeriod; requests that are still in flight at its start are answered without a further attempt.
	closingPeriod = 300 * time.Millisecond
	abortPeriod   = 50 * time.Millisecond
	// idleDivisor sets how long a client connection may be idle if the process has a successor: the duration of the
	// shutdown divided by this number. That time is longer than the pause between most clients' requests, and short
	// enough that all connections end before the shutdown does.
	idleDivisor = 3
)

// shutdownPlan is the schedule of a shutdown. Its times count from the start of the shutdown.
type shutdownPlan struct {
	total time.Duration // duration of the whole shutdown
}

// planShutdown returns the schedule of a shutdown for the longest deadline of all classes.
func planShutdown(longestDeadline time.Duration) shutdownPlan {
	return shutdownPlan{min(longestDeadline, maxCountedDeadline) + shutdownAfterDeadline}
}

// accepts reports whether requests are still accepted at the time now. Clients may have no other node, so that they are
// served until closingPeriod as long as they send requests. lastRequest is when a request last arrived; it is negative if
// that was before the shutdown.
func (p shutdownPlan) accepts(now, lastRequest time.Duration) bool {
	return now < p.total-closingPeriod && now-max(0, lastRequest) < arrivalPeriod
}

// abortAt returns when the requests that are still in flight are answered.
func (p shutdownPlan) abortAt() time.Duration { return p.total - abortPeriod }

// idleTimeout returns how long a client's connection may be idle in a process that has a successor.
func (p shutdownPlan) idleTimeout() time.Duration { return p.total / idleDivisor }

// closeCondition decides when the listener of a process that shuts down may be closed.
type closeCondition struct {
	plan    shutdownPlan
	backlog gracefulclose.BacklogWatch // watches the kernel's backlog from when the plan accepts no more requests
}

// met records a check at the time now, sinceLast after the previous check, and reports whether the listener may be closed.
// That is when the plan accepts no more requests and the connections in the kernel's backlog have been accepted since, and
// at abortAt at the latest.
func (c *closeCondition) met(sinceLast, now, lastRequest time.Duration) bool {
	if c.plan.accepts(now, lastRequest) {
		c.backlog = gracefulclose.BacklogWatch{}
		return false
	}
	return c.backlog.Poll(sinceLast) || now >= c.plan.abortAt()
}

// shutDown ends serving. It leaves the clients to the successor, if there is one, and otherwise serves them until they stop
// sending requests or closingPeriod starts. All accepted requests have been answered when shutDown returns.
func (n *Node) shutDown(running *runningNode, s *clientServer) error {
	startedAt := time.Now()
	plan := planShutdown(n.cfg.longestDeadline())
	n.log.Info("stopping",
		"longest_deadline_ms", n.cfg.longestDeadline().Milliseconds(), "limit_ms", plan.total.Milliseconds())
	shutdownCtx, cancel := context.WithDeadline(context.Background(), startedAt.Add(plan.total))
	defer cancel()
	abort := time.AfterFunc(time.Until(startedAt.Add(plan.abortAt())), func() {
		running.cluster.Abort()
		running.httpServer.CloseIdleConnections() // a request on an idle connection would no longer be answered
	})
	defer abort.Stop()
	defer func() {
		n.log.Info("client connections ended", "reasons", running.httpServer.ConnectionEnds(),
			"turn_waits", running.httpServer.Shares().Waits)
	}()
	if running.restart.successorServing() {
		n.drainToSuccessor(shutdownCtx, running, s, plan)
		n.log.Info("clients left to the successor",
			"connections", running.httpServer.Connections(), "elapsed_ms", time.Since(startedAt).Milliseconds())
		return nil
	}
	running.httpServer.FailHealthChecks()
	awaitClose(plan, startedAt, running.httpServer.LastRequestAt)
	running.httpServer.CloseAfterResponses()
	s.listener.Close()
	if err := <-s.failed; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve clients: %w", err)
	}
	// Drain is used instead of http.Server.Shutdown, which drops requests that are just being read.
	running.httpServer.Drain(shutdownCtx)
	return nil
}

// drainToSuccessor stops accepting connections at once, since the successor accepts those that are queued in the kernel or
// still arrive. It waits until the clients have disconnected.
func (n *Node) drainToSuccessor(ctx context.Context, running *runningNode, s *clientServer, plan shutdownPlan) {
	s.listener.Close()
	running.restart.advancePhase(hotrestart.PhaseDraining)
	running.httpServer.DrainToSuccessor(ctx, plan.idleTimeout())
}

// awaitClose waits until the listener may be closed. lastRequest returns when a request last arrived.
func awaitClose(plan shutdownPlan, startedAt time.Time, lastRequest func() time.Time) {
	condition := closeCondition{plan: plan}
	last := time.Now()
	for {
		time.Sleep(gracefulclose.PollInterval)
		now := time.Now()
		if condition.met(now.Sub(last), now.Sub(startedAt), lastRequest().Sub(startedAt)) {
			return
		}
		last = now
	}
}
