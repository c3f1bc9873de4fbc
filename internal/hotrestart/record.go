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
	recordStart = "yokestall-record 1 " // and the node's name
	// maxRecord bounds a copy of the record; compactAt is where it is written anew.
	maxRecord = 1 << 20
	compactAt = 128 << 10
)

// entry is a change with its place in the record, from 1.
type entry struct {
	seq    uint64
	change adminstate.Change
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var ops = map[string]adminstate.Op{
	adminstate.Detach.String(): adminstate.Detach, adminstate.Attach.String(): adminstate.Attach,
	adminstate.LameDuck.String(): adminstate.LameDuck, adminstate.Rejoin.String(): adminstate.Rejoin,
}

// appendEntry writes an entry as a line that tells by itself whether it is whole.
func appendEntry(b []byte, e entry) []byte {
	from := len(b)
	b = strconv.AppendUint(b, e.seq, 10)
	b = append(b, ' ')
	b = append(b, e.change.Op.String()...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, e.change.AtMs, 10)
	b = append(b, ' ')
	b = strconv.AppendQuoteToASCII(b, e.change.Server)
	b = fmt.Appendf(b, " %08x\n", crc32.Checksum(b[from:], castagnoli))
	return b
}

var errDamaged = errors.New("damaged")

func parseEntry(line []byte) (entry, error) {
	space := bytes.LastIndexByte(line, ' ')
	if space < 0 {
		return entry{}, errDamaged
	}
	sum, err := strconv.ParseUint(string(line[space+1:]), 16, 32)
	if err != nil || len(line)-space != 9 || uint32(sum) != crc32.Checksum(line[:space], castagnoli) {
		return entry{}, errDamaged
	}
	parts := strings.SplitN(string(line[:space]), " ", 4)
	if len(parts) != 4 {
		return entry{}, errDamaged
	}
	var e entry
	var known bool
	var errSeq, errAt, errID error
	e.seq, errSeq = strconv.ParseUint(parts[0], 10, 64)
	e.change.Op, known = ops[parts[1]]
	e.change.AtMs, errAt = strconv.ParseInt(parts[2], 10, 64)
	e.change.Server, errID = strconv.Unquote(parts[3])
	if errSeq != nil || errAt != nil || errID != nil || !known || e.seq == 0 ||
		len(e.change.Server) > discovery.MaxIDBytes || e.change.Op.OfServer() != (e.change.Server != "") {
		return entry{}, errDamaged
	}
	return e, nil
}

// errForeign tells of a file that is no record of this node's: of another one, or of a version
// that this program does not know.
var errForeign = errors.New("not a record of this node's in a version that is known")

// parseRecord reads a copy of the record. Entries that are damaged are left out; the error says
// that some are, or that nothing can be read.
func parseRecord(text []byte, name string) ([]entry, error) {
	if len(text) == 0 {
		return nil, nil
	}
	head, rest, ended := bytes.Cut(text, []byte("\n"))
	if !ended || string(head) != recordStart+strconv.Quote(name) {
		return nil, errForeign
	}
	var all []entry
	var damage error
	for n := 2; len(rest) > 0; n++ {
		var line []byte
		line, rest, ended = bytes.Cut(rest, []byte("\n"))
		e, err := parseEntry(line)
		if err != nil || !ended {
			damage = fmt.Errorf("line %d: %w", n, errDamaged)
			continue
		}
		all = append(all, e)
	}
	return all, damage
}

// merge puts the entries of both copies together, in their order: what one has lost the other has.
func merge(copies ...[]entry) []entry {
	all := slices.Concat(copies...)
	slices.SortStableFunc(all, func(x, y entry) int { return cmp.Compare(x.seq, y.seq) })
	return slices.CompactFunc(all, func(x, y entry) bool { return x.seq == y.seq })
}

// formatRecord writes a whole copy.
func formatRecord(name string, all []entry) []byte {
	b := append([]byte(recordStart), strconv.Quote(name)+"\n"...)
	for _, e := range all {
		b = appendEntry(b, e)
	}
	return b
}
