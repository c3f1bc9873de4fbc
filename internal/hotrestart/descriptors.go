package hotrestart

// MinDescriptors is the number of descriptors that a process of the node may always hold, unless the
// node's limit is smaller.
const MinDescriptors = 64

// DescriptorLimit returns how many of a node's descriptors this process may hold, and the number of
// its latest successor (0: none). total is the node's limit, open the number of descriptors that this
// process has open, self the presence that it published last, and peers are the presences of the other
// processes.
//
// A process without peers may hold all of the node's descriptors. A predecessor may hold half of them,
// or as many as it has open if these are more, since closing connections in use would fail requests.
// While there is a successor, the limit of a predecessor does not grow; a draining predecessor's limit
// is what it has open, so the descriptors that it closes as its clients leave go to the successor. The
// successor may hold the descriptors that its predecessors' published Descriptors leave over, so its
// limit grows only after theirs have shrunk. A predecessor that hangs keeps the Descriptors that it
// published last.
func DescriptorLimit(total, open int, self Presence, peers []Presence) (limit int, successor uint64) {
	predecessors := 0 // descriptors that all predecessors together may hold
	for _, p := range peers {
		if p.Number > self.Number {
			successor = max(successor, p.Number)
		} else {
			predecessors += p.Descriptors
		}
	}
	switch {
	case successor == 0:
		limit = total - predecessors
	case self.Phase == PhaseDraining:
		limit = open
	default:
		limit = max(total/2, open)
	}
	if successor != 0 && self.Successor != 0 {
		limit = min(limit, self.Descriptors)
	}
	return max(limit, min(MinDescriptors, total)), successor
}

// SuccessorServing reports whether a successor of this process is in PhaseServing. self is this
// process's presence, peers are the other processes'.
func SuccessorServing(self Presence, peers []Presence) bool {
	for _, p := range peers {
		if p.Number > self.Number && p.Phase == PhaseServing {
			return true
		}
	}
	return false
}
