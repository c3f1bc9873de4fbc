package hotrestart

// MinDescriptors is what a process may always hold of the node's descriptors.
const MinDescriptors = 64

// DescriptorLimit returns how many of a node's descriptors this process may hold, and the number of
// its latest successor (0: none). total is the node's limit, open what this process has open, self
// what it published last, peers the other processes.
//
// A process without peers may hold all. A predecessor keeps half, or what it has open if that is more:
// to close connections in use would cost requests. Its limit never grows again, and what it closes as
// its clients leave is the successor's. The successor has what its predecessors published that they
// leave, so its limit grows only after theirs have shrunk; one that hangs keeps what it had open when
// it published last.
func DescriptorLimit(total, open int, self Presence, peers []Presence) (limit int, successor uint64) {
	predecessors := 0 // descriptors of theirs
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

// SuccessorServing reports whether a successor of this process accepts clients.
func SuccessorServing(self Presence, peers []Presence) bool {
	for _, p := range peers {
		if p.Number > self.Number && p.Phase == PhaseServing {
			return true
		}
	}
	return false
}
