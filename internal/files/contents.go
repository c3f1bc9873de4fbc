package files

import (
	"crypto/sha256"
	"fmt"
	"io"
	"slices"

	"yokestall/internal/config"
)

// part is a file of a version. Its content is read only if it has to be parsed.
type part struct {
	name        string
	hash        hash // hash of the content
	text        func() ([]byte, error)
	checksummed bool   // the file has a checksum, which parsing verifies
	setting     string // value of the setting of the program's file that names the file; "": the program's file itself
}

func partOf(f config.File) part {
	return part{name: f.Name, hash: hashOf(f.Text), text: func() ([]byte, error) { return f.Text, nil }}
}

func (f *part) key() partKey { return partKey{f.name, f.hash} }

// partKey identifies the result of parsing a file. The name is part of the key since the result contains it.
type partKey struct {
	name string
	hash hash
}

// contents holds the files of a version. Only the program's file is parsed already, since it names the others.
type contents struct {
	program  part
	tenants  []part // the tenants file; empty if the program's file names none
	clusters []part
	xds      []part
	parsed   *config.Program // parsed from program
}

// parts returns all files.
func (v *contents) parts() []part {
	return slices.Concat([]part{v.program}, v.tenants, v.clusters, v.xds)
}

// hash returns a hash over the names and contents of all files.
func (v *contents) hash() (sum hash) {
	h := sha256.New()
	for _, list := range [][]part{{v.program}, v.tenants, v.clusters, v.xds} {
		writeHashes(h, list)
	}
	h.Sum(sum[:0])
	return sum
}

// writeHashes writes the number of files, and the name and content hash of each.
func writeHashes(to io.Writer, list []part) {
	fmt.Fprintf(to, "%d\n", len(list))
	for i := range list {
		fmt.Fprintf(to, "%q %x\n", list[i].name, list[i].hash)
	}
}
