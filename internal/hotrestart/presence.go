package hotrestart

import (
	"fmt"
	"hash/crc32"
	"os"
	"strconv"
)

// ProcessPhase is the phase of a process of the node between its start and its end. Presence files
// contain the phases' numbers.
type ProcessPhase uint8

// The phases of a process of the node.
const (
	PhaseStarting ProcessPhase = iota // the process does not accept clients yet
	PhaseServing                      // the process accepts clients
	PhaseDraining                     // the process no longer accepts new connections
)

// Presence is what a process publishes to the other processes of the node.
type Presence struct {
	Number uint64 // the process's number, greater than those of its predecessors
	Phase  ProcessPhase
	// AppliedSeq is the sequence number up to which the record's entries are in force in the process, or
	// were returned by Join to be applied before the process serves.
	AppliedSeq uint64
	// Descriptors is the number of the node's descriptors that other processes must leave to this one.
	// Without peers it is the number of descriptors that the process has open, capped by the process's
	// limit; with peers it is that limit.
	Descriptors int
	Successor   uint64 // number of the latest process that this one yields descriptors to; 0: none
}

const (
	presencePrefix  = "process-"
	presenceVersion = 1
	presenceBytes   = 96 // size of a presence file
)

// encode returns the content of the presence file, with a checksum. The content always has presenceBytes
// bytes, so that writing it overwrites all of the former content.
func (p Presence) encode() []byte {
	b := fmt.Appendf(nil, "%d %d %d %d %d %d",
		presenceVersion, p.Number, p.Phase, p.AppliedSeq, p.Descriptors, p.Successor)
	b = fmt.Appendf(b, " %08x", crc32.Checksum(b, castagnoli))
	for len(b) < presenceBytes {
		b = append(b, '\n')
	}
	return b[:presenceBytes]
}

// parsePresence decodes the content of a presence file. It returns errDamaged for a file that is being
// written, is damaged or has another version.
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

// createPresence removes the files of dead processes, and creates and locks this process's presence file
// with a number above those of all other processes. Join calls it with the folder's lock held, except
// when that lock could not be acquired.
func (f *Folder) createPresence() error {
	names, err := f.fileNames()
	if err != nil {
		return err
	}
	lastNumber, live := f.removeDead(names)
	f.removeOrphanedSnapshots(names, live)
	f.self.Number = lastNumber + 1
	path := f.path(presencePrefix + strconv.FormatUint(f.self.Number, 10))
	if f.presenceFile, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600); err != nil {
		return err
	}
	return tryLock(f.presenceFile)
}

// removeDead removes the presence files of dead processes. It returns the greatest process number among
// all presence files, and the numbers of the live processes.
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

// writePresence writes this process's presence file. The caller holds f.mu, or f is not shared yet.
func (f *Folder) writePresence() error {
	_, err := f.presenceFile.WriteAt(f.self.encode(), 0)
	return err
}

// readPresence returns the presence of a process. If its presence file can't be read, the returned
// Presence has only the number.
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
