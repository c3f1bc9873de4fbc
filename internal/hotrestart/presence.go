package hotrestart

import (
	"fmt"
	"hash/crc32"
	"os"
	"strconv"
)

// ProcessPhase is how far a process of the node is between its start and its end. Its numbers stand in
// presence files.
type ProcessPhase uint8

// The phases of a process of the node.
const (
	PhaseStarting ProcessPhase = iota // accepts no clients yet
	PhaseServing
	PhaseDraining // accepts no new connections any more
)

// Presence is what a process publishes to the other processes of the node.
type Presence struct {
	Number     uint64 // of the process; a successor's is greater
	Phase      ProcessPhase
	AppliedSeq uint64 // the record's entries up to this one are in force
	// Descriptors is what other processes must leave to this one. Without peers it is the number of
	// descriptors that the process has open, capped by its limit; with peers it is the limit.
	Descriptors int
	Successor   uint64 // number of the latest process that this one yields descriptors to; 0: none
}

const (
	presencePrefix  = "process-"
	presenceVersion = 1
	presenceBytes   = 96 // size of the file
)

// encode returns a presence with its checksum, always presenceBytes long: it overwrites the last one.
func (p Presence) encode() []byte {
	b := fmt.Appendf(nil, "%d %d %d %d %d %d",
		presenceVersion, p.Number, p.Phase, p.AppliedSeq, p.Descriptors, p.Successor)
	b = fmt.Appendf(b, " %08x", crc32.Checksum(b, castagnoli))
	for len(b) < presenceBytes {
		b = append(b, '\n')
	}
	return b[:presenceBytes]
}

// parsePresence decodes a presence. One that is being written, or has another version, is errDamaged.
func parsePresence(b []byte) (Presence, error) {
	var p Presence
	var version int
	var sum uint32
	_, err := fmt.Sscanf(string(b), "%d %d %d %d %d %d %x\n",
		&version, &p.Number, &p.Phase, &p.AppliedSeq, &p.Descriptors, &p.Successor, &sum)
	if err != nil {
		return Presence{}, errDamaged
	}
	if version != presenceVersion || p.Phase > PhaseDraining || string(p.encode()) != string(b) {
		return Presence{}, errDamaged
	}
	return p, nil
}

// createPresence makes and locks this process's presence file, numbered above all others, and removes
// what dead processes left. The folder's lock is held.
func (f *Folder) createPresence() error {
	names, err := f.fileNames()
	if err != nil {
		return err
	}
	last, live := f.removeDead(names)
	f.removeOrphanedSnapshots(names, live)
	f.self.Number = last + 1
	path := f.path(presencePrefix + strconv.FormatUint(f.self.Number, 10))
	if f.presenceFile, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600); err != nil {
		return err
	}
	return tryLock(f.presenceFile)
}

// removeDead removes the presence files of dead processes. It returns the greatest number of all, and
// the numbers of live processes.
func (f *Folder) removeDead(names []string) (last uint64, live map[uint64]bool) {
	live = map[uint64]bool{}
	for _, name := range names {
		number, ok := numberedFile(name, presencePrefix)
		if !ok {
			continue
		}
		last = max(last, number)
		if f.isLocked(name) {
			live[number] = true
		} else {
			os.Remove(f.path(name))
		}
	}
	return last, live
}

// writePresence writes this process's presence; f.mu is held, or f is not shared yet.
func (f *Folder) writePresence() error {
	_, err := f.presenceFile.WriteAt(f.self.encode(), 0)
	return err
}

// readPresence returns the presence of a process, or its number alone if the file can't be read.
func (f *Folder) readPresence(name string, number uint64) Presence {
	data, err := readLimited(f.path(name), presenceBytes)
	if err != nil {
		return Presence{Number: number}
	}
	p, err := parsePresence(data)
	if err != nil || p.Number != number {
		return Presence{Number: number}
	}
	return p
}
