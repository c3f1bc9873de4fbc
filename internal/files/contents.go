package files

import (
	"crypto/sha256"
	"fmt"
	"io"

	"yokestall/internal/config"
)

// part is a file of a version. Its content is read only if it has to be parsed.
type part struct {
	name string
	hash hash // of the content
	text func() ([]byte, error)
}

func partOf(f config.File) part {
	return part{name: f.Name, hash: hashOf(f.Text), text: func() ([]byte, error) { return f.Text, nil }}
}

func (f *part) key() partKey { return partKey{f.name, f.hash} }

// partKey identifies what is parsed from a file: its name goes into the result.
type partKey struct {
	name string
	hash hash
}

// contents is the files of a version, of which the program's own is parsed.
type contents struct {
	program  part
	tenants  []part // one, if the tenants have a file of their own
	clusters []part
	xds      []part
	parsed   *config.Program // of program
}

// hash returns the hash of all files.
func (v *contents) hash() (sum hash) {
	h := sha256.New()
	for _, list := range [][]part{{v.program}, v.tenants, v.clusters, v.xds} {
		writeHashes(h, list)
	}
	h.Sum(sum[:0])
	return sum
}

// writeHashes writes the names and hashes of files.
func writeHashes(to io.Writer, list []part) {
	fmt.Fprintf(to, "%d\n", len(list))
	for i := range list {
		fmt.Fprintf(to, "%q %x\n", list[i].name, list[i].hash)
	}
}
