package ownership

import "time"

const (
	// maxOutstandingRequests is how many requests may be unanswered. Replies to older requests are ignored.
	maxOutstandingRequests = 16
	// minReservedShare is the fraction of its own share that a node never releases, so that it can send the first requests
	// that arrive.
	minReservedShare = 0.1
)

// Holder keeps a node's share of the budget: its own share, without the parts that it has released, and its grants. A
// Holder is not safe for concurrent use.
type Holder struct {
	config       LeaseConfig
	highestToken uint64                   // highest fencing token of the owners' replies
	released     []capacityLease          // parts of the node's own share that other nodes may use
	granted      []capacityLease          // parts of other nodes' shares
	requestedAt  map[uint64]time.Duration // when each outstanding request was made, by sequence
	sequence     uint64                   // sequence of the latest request
	echo         Nonce                    // nonce of the latest reply
	fleetDemand  float64                  // demand of all nodes by the latest reply, in requests per second
}

// NewHolder creates the holder of a process that has just been started. The share that an earlier process
// of the node had and released is unknown, so the whole budget counts as released for ReleaseDuration.
func NewHolder(now time.Duration, config LeaseConfig) *Holder {
	earlier := capacityLease{1, now + config.onFastestClock(config.ReleaseDuration)}
	return &Holder{config: config, requestedAt: map[uint64]time.Duration{}, released: []capacityLease{earlier}}
}

// Usable returns the fraction of the budget that the node may use from now until the given time, at which Usable has to
// be called again. own is the node's share without any lease. own may change with a version, if it changes at all nodes
// together. The budget is still kept: a node never releases more than its share was, and a holder that has just been
// started may use nothing of its own share for ReleaseDuration, until the leases of the smaller fleet have ended.
func (h *Holder) Usable(now, until time.Duration, own float64) float64 {
	remaining := own
	for _, l := range h.released {
		if now < l.end {
			remaining -= l.share
		}
	}
	usable := max(0, remaining)
	for _, l := range h.granted {
		if until < l.end {
			usable += l.share
		}
	}
	return usable
}

// NextRequest creates the next request to the owner. The share that the request releases is deducted from now on, whether
// the request arrives or not. own is the node's share without any lease, and demand is its requests per second.
func (h *Holder) NextRequest(now time.Duration, own, demand float64) LeaseRequest {
	h.released = removeExpired(h.released, now)
	h.granted = removeExpired(h.granted, now)
	h.sequence++
	h.requestedAt[h.sequence] = now
	delete(h.requestedAt, h.sequence-maxOutstandingRequests)
	request := LeaseRequest{Sequence: h.sequence, Demand: demand, OwnShare: own, Echo: h.echo}
	if h.echo.Token == 0 || h.fleetDemand <= 0 || len(h.released) >= maxLeases {
		return request
	}
	if spare := h.spare(own, demand); spare > own/minLeaseDivisor {
		request.Released = spare
		end := now + h.config.onFastestClock(h.config.ReleaseDuration)
		h.released = append(h.released, capacityLease{spare, end})
	}
	return request
}

// spare returns the part of the node's own share that the node does not need, as a fraction of the budget. The result is
// negative if the node needs more than it has.
func (h *Holder) spare(own, demand float64) float64 {
	free := own
	for _, l := range h.released {
		free -= l.share
	}
	return free - max(own*minReservedShare, demand/h.fleetDemand)
}

// HandleReply records an owner's reply. It returns false, and ignores the reply, if the owner's token is no longer
// the highest or the reply belongs to no outstanding request.
func (h *Holder) HandleReply(now time.Duration, reply LeaseReply) bool {
	if reply.Token < h.highestToken {
		return false
	}
	requested, outstanding := h.requestedAt[reply.Sequence]
	if !outstanding {
		return false
	}
	delete(h.requestedAt, reply.Sequence) // a duplicate of the reply is ignored
	h.highestToken = reply.Token
	h.echo, h.fleetDemand = reply.Nonce, reply.Demand
	end := requested + h.config.onSlowestClock(reply.Duration)
	if reply.Granted > 0 && now < end && len(h.granted) < maxLeases {
		h.granted = append(h.granted, capacityLease{reply.Granted, end})
	}
	return true
}

// HighestToken returns the highest fencing token of an owner's replies.
func (h *Holder) HighestToken() uint64 { return h.highestToken }
