package adminapi

import (
	"bytes"
	"errors"
	"io"
	"strings"
)

// maxResponseBytes bounds the text that follows a response's status word.
const maxResponseBytes = 400

// The malformed lines. Their texts are the operator's answer.
var (
	errSeveralLines     = &malformedLineError{"more than one line came"}
	errLineTooLong      = &malformedLineError{"the line is too long"}
	errUnterminatedLine = &malformedLineError{"the line has no end"}
)

// malformedLineError is a line that came in time but can't be a command. The operator gets a
// response, unlike after an error of the connection.
type malformedLineError struct{ text string }

// Error implements error.
func (e *malformedLineError) Error() string { return e.text }

// readLine reads one line, ended by LF or CR LF, and requires that nothing follows. The error is a
// *malformedLineError or the reader's.
func readLine(r io.Reader) ([]byte, error) {
	buffer := make([]byte, 0, MaxCommandBytes)
	for {
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if end := bytes.IndexByte(buffer, '\n'); end >= 0 {
			if end+1 < len(buffer) {
				return nil, errSeveralLines
			}
			return bytes.TrimSuffix(buffer[:end], []byte("\r")), nil
		}
		if len(buffer) == cap(buffer) {
			return nil, errLineTooLong
		}
		switch {
		case errors.Is(err, io.EOF) && len(buffer) > 0:
			return nil, errUnterminatedLine
		case err != nil:
			return nil, err
		}
	}
}

// formatResponse returns a response: one line of printable ASCII, "+OK" and the text, or "-ERR" and
// the error's.
func formatResponse(text string, err error) string {
	response := "+OK"
	if err != nil {
		response, text = "-ERR", err.Error()
	}
	if text != "" {
		response += " " + printable(text[:min(len(text), maxResponseBytes)])
	}
	return response + "\n"
}

// printable replaces all but printable ASCII.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, text)
}
