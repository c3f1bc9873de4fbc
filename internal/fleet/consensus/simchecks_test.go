package consensus

import (
	"fmt"
	"reflect"
	"time"

	"yokestall/internal/fake/fleet"
)

// recordViolation records a violation of the protocol.
func (s *fleetSim) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// probeOwner asks a voter over a slow network whether it owns task w0, in one of five calls.
func (s *fleetSim) probeOwner(n *simNode) {
	if s.probeRNG.IntN(5) > 0 {
		return
	}
	latency := func() time.Duration { return time.Duration(s.probeRNG.Int64N(int64(200 * time.Millisecond))) }
	sentAt := s.now
	s.scheduleOn(n, latency(), func() {
		token, owns := s.ownedTasks(n)["w0"]
		if !owns {
			return
		}
		s.ownerAnswers = append(s.ownerAnswers, fleet.Event{
			Kind:      fleet.OwnerAnswered,
			Party:     int(n.id),
			Version:   int(token),
			Reference: sentAt,
			At:        s.now + latency(),
		})
	})
}

// checkReads checks that a voter whose read is done has applied every entry that any voter had applied when the read was
// started.
func (s *fleetSim) checkReads(n *simNode) {
	for id, applied := range n.pendingReads {
		if s.omitted != linearizableRead && !n.voter.ReadDone(id) {
			continue
		}
		delete(n.pendingReads, id)
		if index := n.voter.State().Index; index < applied {
			s.recordViolation("%v: a read by %s is done at log index %d, but %d had been applied when it started",
				s.now, n.name, index, applied)
		}
		s.answeredReads++
	}
}

// recordApplied records the changes between a voter's state before and after it applied entries.
func (s *fleetSim) recordApplied(before, now *State) {
	s.highestApplied = max(s.highestApplied, now.Index)
	for _, m := range now.History {
		if before.Version(m.Number) == nil {
			s.recordVersion(m)
		}
	}
	if p := now.PendingVersion; p != 0 && s.pendingAt[p] == 0 {
		s.pendingAt[p] = s.now
	}
	if p := before.PendingVersion; p != 0 && now.ActiveVersion == p && s.pendingAt[p] > 0 {
		s.longestActivation = max(s.longestActivation, s.now-s.pendingAt[p])
		s.pendingAt[p] = -1
	}
}

// recordVersion records a version that a voter has applied, and checks that no other voter gave it another number.
func (s *fleetSim) recordVersion(m Manifest) {
	number, known := s.acked[m.ID]
	if known && number != m.Number {
		s.recordViolation("version with id %s has number %d at one voter and %d at another", m.ID, number, m.Number)
	}
	if number == 0 {
		s.versions++
	}
	s.acked[m.ID] = m.Number
}

// activeVersions returns the versions that a node acts on at this moment.
func (s *fleetSim) activeVersions(n *simNode) ActiveVersions {
	switch {
	case n.down || n.pausedUntil > s.now:
		return ActiveVersions{}
	case s.omitted == leaseCheck:
		return n.active
	case s.omitted == leaseCheckAtUse && n.permittedAtWake || n.lease.Permits(n.clock(s.now), n.active):
		return n.active
	}
	return ActiveVersions{}
}

// ownedTasks returns the tasks that a node acts as the owner of at this moment, with their tokens.
func (s *fleetSim) ownedTasks(n *simNode) map[string]uint64 {
	if n.down || n.pausedUntil > s.now || len(n.ownedTasks) == 0 ||
		s.omitted != ownerLeaseCheck && !n.lease.PermitsOwnership(n.clock(s.now)) {
		return nil
	}
	return n.ownedTasks
}

// checkOwners checks that no task has two owners at this moment, and that no owner acts by an outdated token.
func (s *fleetSim) checkOwners() {
	owners := map[string]*simNode{}
	for _, id := range s.voters {
		n := s.nodes[id-1]
		for task, token := range s.ownedTasks(n) {
			if other := owners[task]; other != nil {
				s.recordViolation("%v: task %s is owned by %s and by %s", s.now, task, other.name, n.name)
			}
			owners[task] = n
			if highest := s.highestTokens[task]; token < highest {
				s.recordViolation("%v: %s owns task %s by token %d after token %d was used", s.now, n.name, task, token, highest)
			}
			s.highestTokens[task] = max(s.highestTokens[task], token)
		}
	}
}

// checkContradictions checks that the versions that a node acts on don't contradict those of any other node. The check
// compares epochs and version numbers, not the versions' content, since versions that do not contradict each other share
// an epoch.
func (s *fleetSim) checkContradictions(n *simNode) {
	a := s.activeVersions(n)
	if a.Version == 0 {
		return
	}
	for _, other := range s.nodes {
		b := s.activeVersions(other)
		if other != n && b.Version != 0 && !compatible(a, b) && !compatible(b, a) {
			s.recordViolation("%v: %s acts on %v while %s acts on %v, which contradicts", s.now, n.name, a, other.name, b)
		}
	}
}

// compatible reports whether a node may act on a while another one acts on b, as far as a's side shows it. Callers must
// also try compatible(b, a): a and b are compatible if either call returns true.
func compatible(a, b ActiveVersions) bool {
	switch {
	case a.Version == b.Version, a.Epoch == b.Epoch:
		return true
	case a.PendingVersion == 0:
		return false
	case a.PendingVersion == b.Version, b.Epoch == a.Epoch-1:
		return true
	}
	return b.PendingVersion != 0 && a.Version == b.PendingVersion
}

// checkHealed checks what must hold some time after the last fault: all voters have the same state, which includes every
// acknowledged version, each task has one owner, and all nodes act on the active version.
func (s *fleetSim) checkHealed() {
	first := s.nodes[0].voter.State()
	for _, id := range s.voters[1:] {
		if other := s.nodes[id-1].voter.State(); !reflect.DeepEqual(first, other) {
			s.violations = append(s.violations, fmt.Sprintf("states of voters 1 and %d differ: %+v, %+v", id, first, other))
		}
	}
	for id, number := range s.acked {
		if m := first.Version(number); (m == nil || m.ID != id) &&
			number >= first.History[0].Number { // older versions are trimmed
			s.violations = append(s.violations, fmt.Sprintf("version %d (id %s) was acknowledged and is missing", number, id))
		}
	}
	if first.PendingVersion != 0 {
		s.violations = append(s.violations, fmt.Sprintf("version %d is still pending", first.PendingVersion))
	}
	for _, task := range s.nodes[0].voter.Tasks {
		owners := 0
		for _, id := range s.voters {
			if _, owns := s.ownedTasks(s.nodes[id-1])[task]; owns {
				owners++
			}
		}
		if owners != 1 {
			s.violations = append(s.violations, fmt.Sprintf("task %s has %d owners, want 1", task, owners))
		}
	}
	for _, n := range s.nodes {
		if a := s.activeVersions(n); a.Version != first.ActiveVersion || a.PendingVersion != 0 {
			s.violations = append(s.violations, fmt.Sprintf("%s acts on %v, want version %d", n.name, a, first.ActiveVersion))
		}
	}
}
