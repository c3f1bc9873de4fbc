package hotrestart

// Least is what a process keeps of the descriptors, however little the others leave.
const Least = 64

// Hold says how many of a node's descriptors this process may hold, and the later process that it
// makes room for (0: none). total is the node's limit, own what this process has open; me is what
// it has last told, peers the other processes, the oldest first.
//
// Before an upgrade the one process may hold all. The earlier of two keeps half, or what it has
// open if that is more: to close what clients use would cost requests. It never takes more again,
// and what it has left over as its clients go is the later one's. After it the later one may hold
// all. The later one counts with what the earlier ones have told, so it grows only after they have
// shrunk; one that hangs keeps what it had open when it told last.
func Hold(total, own int, me Presence, peers []Presence) (hold int, yields uint64) {
	others := 0
	for _, p := range peers {
		if p.Number > me.Number {
			yields = max(yields, p.Number)
		} else {
			others += p.Held
		}
	}
	switch {
	case yields == 0:
		hold = total - others
	case me.Phase == Leaving:
		hold = own
	default:
		hold = max(total/2, own)
	}
	if yields != 0 && me.Yields != 0 {
		hold = min(hold, me.Held)
	}
	return max(hold, min(Least, total)), yields
}

// Successor tells whether a later process takes clients.
func Successor(me Presence, peers []Presence) bool {
	for _, p := range peers {
		if p.Number > me.Number && p.Phase == Serving {
			return true
		}
	}
	return false
}
