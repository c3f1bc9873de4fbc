package hotrestart

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"

	"yokestall/internal/adminstate"
	"yokestall/internal/discovery"
)

const (
	// recordVersion is the version of the record's format.
	recordVersion = "1"
	// recordHeader is the start of the first line of a record. The quoted identity of the node follows: its
	// name and its listen address.
	recordHeader = "yokestall-record " + recordVersion + " "
)

// recordEntry is a change with its sequence number in the record. Sequence numbers start at 1.
type recordEntry struct {
	seq    uint64
	change adminstate.Change
}

// The errors of reading files of the folder.
var (
	// errDamaged is returned for data with a wrong checksum or format.
	errDamaged = errors.New("damaged")
	// errForeignRecord is returned for a record whose header line is damaged or truncated, or has another
	// node identity or an unsupported version. Operators see its text.
	errForeignRecord = errors.New("header of the record is damaged, or has another node name, listen address or version")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// operations maps the names of operations in the record to the operations.
var operations = map[string]adminstate.Operation{
	adminstate.Detach.String():   adminstate.Detach,
	adminstate.Attach.String():   adminstate.Attach,
	adminstate.LameDuck.String(): adminstate.LameDuck,
	adminstate.Rejoin.String():   adminstate.Rejoin,
}

// appendEntry appends a line with the entry and its checksum to b.
func appendEntry(b []byte, e recordEntry) []byte {
	start := len(b)
	b = strconv.AppendUint(b, e.seq, 10)
	b = append(b, ' ')
	b = append(b, e.change.Operation.String()...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, e.change.RequestedAtMs, 10)
	b = append(b, ' ')
	b = strconv.AppendQuoteToASCII(b, e.change.InstanceID)
	return fmt.Appendf(b, " %08x\n", crc32.Checksum(b[start:], castagnoli))
}

// parseEntry parses a line of the record, given without its line end. It returns errDamaged if the
// checksum, the format or a value is invalid.
func parseEntry(line []byte) (recordEntry, error) {
	text, ok := cutChecksum(line)
	if !ok {
		return recordEntry{}, errDamaged
	}
	fields := strings.SplitN(string(text), " ", 4)
	if len(fields) != 4 {
		return recordEntry{}, errDamaged
	}
	var e recordEntry
	var knownOperation bool
	var errSeq, errTime, errID error
	e.seq, errSeq = strconv.ParseUint(fields[0], 10, 64)
	e.change.Operation, knownOperation = operations[fields[1]]
	e.change.RequestedAtMs, errTime = strconv.ParseInt(fields[2], 10, 64)
	e.change.InstanceID, errID = strconv.Unquote(fields[3])
	if errSeq != nil || errTime != nil || errID != nil || !knownOperation || !e.valid() {
		return recordEntry{}, errDamaged
	}
	return e, nil
}

// cutChecksum returns a line without its checksum, and whether the checksum matches.
func cutChecksum(line []byte) (text []byte, ok bool) {
	const digits = 8
	space := bytes.LastIndexByte(line, ' ')
	if space < 0 || len(line)-space != 1+digits {
		return nil, false
	}
	sum, err := strconv.ParseUint(string(line[space+1:]), 16, 32)
	return line[:space], err == nil && uint32(sum) == crc32.Checksum(line[:space], castagnoli)
}

// valid reports whether an entry has a sequence number, and has an instance id of valid length if, and only
// if, its operation targets an instance.
func (e recordEntry) valid() bool {
	return e.seq != 0 &&
		len(e.change.InstanceID) <= discovery.MaxIDBytes &&
		e.change.Operation.TargetsInstance() == (e.change.InstanceID != "")
}

// parseRecord parses a copy of the record. It skips damaged entries; the error then wraps errDamaged and
// names the line of the last one. For errForeignRecord there are no entries.
func parseRecord(data []byte, nodeIdentity string) ([]recordEntry, error) {
	if len(data) == 0 {
		return nil, nil
	}
	header, rest, terminated := bytes.Cut(data, []byte("\n"))
	if !terminated || string(header) != recordHeader+strconv.Quote(nodeIdentity) {
		return nil, errForeignRecord
	}
	var entries []recordEntry
	var damage error
	for lineNumber := 2; len(rest) > 0; lineNumber++ {
		var line []byte
		line, rest, terminated = bytes.Cut(rest, []byte("\n"))
		e, err := parseEntry(line)
		if err != nil || !terminated {
			damage = fmt.Errorf("line %d: %w", lineNumber, errDamaged)
			continue
		}
		entries = append(entries, e)
	}
	return entries, damage
}

// formatRecord returns the content of a copy of the record with these entries.
func formatRecord(nodeIdentity string, entries []recordEntry) []byte {
	b := append([]byte(recordHeader), strconv.Quote(nodeIdentity)+"\n"...)
	for _, e := range entries {
		b = appendEntry(b, e)
	}
	return b
}

// mergeCopies returns the entries that at least one copy has, once each and in the order of their sequence
// numbers.
func mergeCopies(copies ...[]recordEntry) []recordEntry {
	all := slices.Concat(copies...)
	slices.SortStableFunc(all, func(x, y recordEntry) int { return cmp.Compare(x.seq, y.seq) })
	return slices.CompactFunc(all, func(x, y recordEntry) bool { return x.seq == y.seq })
}

// hasGap reports whether the record has lost entries: whether an entry between its first one and lastSeq is
// missing, or the record is empty although lastSeq is not 0.
func hasGap(entries []recordEntry, lastSeq uint64) bool {
	if len(entries) == 0 {
		return lastSeq > 0
	}
	first, last := entries[0].seq, entries[len(entries)-1].seq
	return last < lastSeq || last-first != uint64(len(entries)-1)
}
