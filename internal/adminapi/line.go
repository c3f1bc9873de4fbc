package adminapi

import (
	"bytes"
	"errors"
	"io"
	"strings"
)

// maxResponseBytes is the maximum length of the text that follows +OK or -ERR in a response.
const maxResponseBytes = 400

// The errors of readLine for malformed lines. The operator gets their texts in the response.
var (
	errSeveralLines     = &malformedLineError{"bytes follow the line; send only one line per connection"}
	errLineTooLong      = &malformedLineError{"the line is too long"}
	errUnterminatedLine = &malformedLineError{"the line does not end with a line feed"}
)

// malformedLineError is the error for a line that was received in time but can't be a command. The operator
// gets a response to such a line, but no response after an error of the connection other than a timeout.
type malformedLineError struct{ text string }

// Error implements error.
func (e *malformedLineError) Error() string { return e.text }

// readLine reads one line that ends with LF or CR LF, and returns it without its line end. It returns a
// *malformedLineError if the line is too long, if the input ends within the line, or if bytes after the line
// were read along with it, and otherwise an error of the reader.
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

// formatResponse returns a response, which is one line of printable ASCII: "+OK" and the text if err is nil,
// otherwise "-ERR" and the text of err. A text longer than maxResponseBytes is truncated.
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

// printable replaces each character that is not printable ASCII by a question mark.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, text)
}
