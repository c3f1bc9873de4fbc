package hotrestart

import (
	"fmt"
	"hash/crc32"
)

// Phase is how far a process is.
type Phase uint8

// The phases of a process of the node.
const (
	Starting Phase = iota // takes no clients yet
	Serving
	Leaving // takes no new connections any more
)

// Presence is what a process tells the other ones of the node.
type Presence struct {
	Number  uint64 // of the process: a later one has a greater number
	Phase   Phase
	Applied uint64 // entries of the record up to this one are in force
	// Held is how many descriptors it may hold: while it is alone those that it has, once it has
	// seen a later process (Yields) those that it keeps to.
	Held   int
	Yields uint64 // the latest process that it makes room for; 0: none
}

const presenceSize = 96

// encode writes a presence with its sum, always as many bytes: it is written over the former one.
func (p Presence) encode() []byte {
	b := fmt.Appendf(nil, "1 %d %d %d %d %d", p.Number, p.Phase, p.Applied, p.Held, p.Yields)
	b = fmt.Appendf(b, " %08x", crc32.Checksum(b, castagnoli))
	for len(b) < presenceSize {
		b = append(b, '\n')
	}
	return b[:presenceSize]
}

// parsePresence reads one; one that is being written, or of another version, is an error.
func parsePresence(b []byte) (Presence, error) {
	var p Presence
	var version int
	var sum uint32
	if _, err := fmt.Sscanf(string(b), "%d %d %d %d %d %d %x\n", &version, &p.Number, &p.Phase, &p.Applied, &p.Held, &p.Yields, &sum); err != nil {
		return Presence{}, errDamaged
	}
	if version != 1 || p.Phase > Leaving || string(p.encode()) != string(b) {
		return Presence{}, errDamaged
	}
	return p, nil
}
