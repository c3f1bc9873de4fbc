package agent

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yokestall/internal/fleet/consensus"
)

// streamIdleLeases is the number of lease durations without a reply after which a lease stream is closed.
const streamIdleLeases = 2

// nextLeaseRequest returns the next lease request, and a channel that is closed when the lease should be renewed without
// waiting for the next interval.
func (n *Node) nextLeaseRequest() (consensus.LeaseRequest, <-chan struct{}) {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	request := n.lease.NextRequest(n.Clock())
	request.Node, request.Incarnation = n.Name, n.incarnation
	return request, n.renewNow
}

// renewLeasesNow makes all renewing goroutines send a lease request to their voters without delay.
func (n *Node) renewLeasesNow() {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	close(n.renewNow)
	n.renewNow = make(chan struct{})
}

// handleLeaseReply records a grant and the log's status, either of which may be nil, and wakes reconcile.
func (n *Node) handleLeaseReply(grant *consensus.Grant, status *consensus.LogStatus) {
	n.leaseMu.Lock()
	if grant != nil {
		n.lease.HandleGrant(*grant)
	}
	if status != nil {
		n.lease.UpdateLogStatus(*status)
	}
	n.updateLeaseEnd()
	n.leaseMu.Unlock()
	n.wakeReconcile()
}

// reevaluateLease updates the end of the lease after a change on this node, without a reply of a voter, and wakes
// reconcile.
func (n *Node) reevaluateLease() {
	n.leaseMu.Lock()
	n.updateLeaseEnd()
	n.leaseMu.Unlock()
	n.wakeReconcile()
}

// updateLeaseEnd sets the time until which the program may act on the versions that it applied last, unless the
// disconnected policy restricts them; n.leaseMu is held.
func (n *Node) updateLeaseEnd() {
	if a := n.applied.Load(); a != nil && !a.disconnected {
		n.applied.Store(&appliedVersions{versions: a.versions, until: n.leaseEnd(a.versions)})
	}
}

func (n *Node) wakeReconcile() {
	select {
	case n.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// leaseEnd returns when the lease for the active versions ends, on the node's clock; 0 if the lease does not permit them.
// n.leaseMu is held.
func (n *Node) leaseEnd(active consensus.ActiveVersions) time.Duration {
	now := n.Clock()
	if !n.lease.Permits(now, active) {
		return 0
	}
	return now + n.lease.Remaining(now, active)
}

// logStatus returns the latest status of the log that this node has received.
func (n *Node) logStatus() consensus.LogStatus {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	return n.lease.LogStatus()
}

// renewOwnLease renews the lease that this node's voter grants to the node itself, until the node stops.
func (n *Node) renewOwnLease() {
	t := time.NewTicker(n.Lease.RenewInterval())
	defer t.Stop()
	for {
		_, changed := n.stateAndChange()
		request, renewNow := n.nextLeaseRequest()
		if grant, err := n.grantLease(request); err == nil {
			n.handleLeaseReply(&grant, nil)
		}
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
		case <-renewNow:
		case <-changed:
		}
	}
}

// renewLeaseWith renews the lease at another voter until the node stops.
func (n *Node) renewLeaseWith(c *Conn) {
	for n.ctx.Err() == nil {
		n.renewLeaseStream(c)
		n.sleep(minDialBackoff)
	}
}

// renewLeaseStream renews the lease over one stream until the stream breaks, or no reply has arrived for
// streamIdleLeases lease durations. The goroutine that receives the replies has ended when renewLeaseStream returns.
func (n *Node) renewLeaseStream(c *Conn) {
	ctx, stop := context.WithCancel(n.ctx)
	defer stop()
	bidirectional := &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}
	s, err := c.NewStream(c.context(ctx), bidirectional, methodPath(streamLeases))
	if err != nil {
		return
	}
	idle := time.AfterFunc(streamIdleLeases*n.Lease.Duration, stop)
	defer idle.Stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer stop()
		n.receiveLeaseReplies(c, s, idle)
	}()
	defer func() { stop(); <-ended }()
	n.sendLeaseRequests(ctx, s)
}

// sendLeaseRequests sends lease requests at the renewal interval, and at once after renewLeasesNow, until the stream
// breaks.
func (n *Node) sendLeaseRequests(ctx context.Context, s grpc.ClientStream) {
	t := time.NewTicker(n.Lease.RenewInterval())
	defer t.Stop()
	for {
		request, renewNow := n.nextLeaseRequest()
		out, err := encodeMessage(request)
		if err != nil || s.SendMsg(out) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-renewNow:
		}
	}
}

// receiveLeaseReplies handles lease replies until the stream breaks or a reply can't be decoded. Each reply resets the
// idle timer.
func (n *Node) receiveLeaseReplies(c *Conn, s grpc.ClientStream, idle *time.Timer) {
	for {
		in := &wrapperspb.BytesValue{}
		if s.RecvMsg(in) != nil {
			return
		}
		var reply LeaseReply
		if err := json.Unmarshal(in.GetValue(), &reply); err != nil {
			n.Log.Warn("lease reply not readable", "voter", c.Target(), "err", err)
			return
		}
		idle.Reset(streamIdleLeases * n.Lease.Duration)
		if reply.Error != "" {
			n.Log.Warn("lease request rejected", "voter", c.Target(), "err", reply.Error)
			continue
		}
		n.handleLeaseReply(reply.Grant, reply.LogStatus)
	}
}
