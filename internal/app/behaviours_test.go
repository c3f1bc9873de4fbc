package app

import (
	"crypto/sha256"
	"fmt"
	"io"

	"yokestall/internal/fake/webpeer"
)

// behaviour is one line of the matrix of TestMatrix: a check that must hold for each pair of protocols.
type behaviour struct {
	name   string
	source string              // RFC and section that require the behaviour, or another source
	check  func(c *cell) error // returns nil if the behaviour holds in the cell
}

// behaviourList is the list of the matrix's lines, in order.
type behaviourList []behaviour

// add appends a line to the matrix.
func (l *behaviourList) add(name, source string, check func(c *cell) error) {
	*l = append(*l, behaviour{name, source, check})
}

// behaviours returns all lines of the matrix. They are defined by topic in the files behaviours_*_test.go.
func behaviours() []behaviour {
	var l behaviourList
	l.addBodySizes()
	l.addRequestLines()
	l.addFields()
	l.addTrailers()
	l.addStreams()
	l.addEarlyAnswers()
	l.addBrokenServers()
	l.addBrokenBodies()
	l.addDuplex()
	return l
}

// patternSum returns the SHA-256 checksum, in hexadecimal, that a peer reports for a body of n bytes of webpeer.Pattern.
func patternSum(n int) string { return fmt.Sprintf("%x", sha256.Sum256(webpeer.Pattern(n))) }

// eofCallback is an empty reader that calls a function when it is read. At the end of an io.MultiReader, the call comes
// once all readers before it are exhausted.
type eofCallback func()

// Read implements io.Reader.
func (callback eofCallback) Read([]byte) (int, error) { callback(); return 0, io.EOF }

// zeros is an endless reader of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }
