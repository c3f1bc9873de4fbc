package app

import (
	"crypto/sha256"
	"fmt"
	"io"

	"yokestall/internal/fake/webpeer"
)

// behaviour is one line of the matrix.
type behaviour struct {
	name   string
	source string              // the section of the RFC that asks for it
	check  func(c *cell) error // nil: the cell behaves so
}

// behaviourList is the lines of the matrix in their order.
type behaviourList []behaviour

// add adds a line.
func (l *behaviourList) add(name, source string, check func(c *cell) error) {
	*l = append(*l, behaviour{name, source, check})
}

// behaviours returns what every pair of sides has in common. Files named behaviours have the lines by concern.
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

// patternSum returns what a peer reports of a body of n bytes of webpeer.Pattern: its SHA-256 in hexadecimal.
func patternSum(n int) string { return fmt.Sprintf("%x", sha256.Sum256(webpeer.Pattern(n))) }

// atEnd is a reader without content, which is called when all before it has been read.
type atEnd func()

// Read implements io.Reader.
func (do atEnd) Read([]byte) (int, error) { do(); return 0, io.EOF }

// zeros is a reader of zero bytes without an end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }
