package h1client

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
)

// maxChunkOverheadBytes limits the bytes by which the framing of chunks may exceed allowedOverhead, so that an endpoint
// can't send framing without end. It is net/http's limit.
const maxChunkOverheadBytes = 16 << 10

// allowedOverhead returns the number of bytes that the framing of a chunk of size bytes may have. It allows chunks of a
// single byte.
func allowedOverhead(size uint64) int { return 16 + 2*int(min(size, maxChunkOverheadBytes)) }

var errInvalidChunk = errors.New("h1client: the endpoint's answer has invalid chunks")

// chunkedBody decodes a body with chunked transfer coding (RFC 9112, 7.1). Unlike net/http's reader, its Read returns the
// bytes of a chunk as they arrive and does not wait until the buffer is full or the chunk has ended, and reading may go
// on after a read deadline has passed.
type chunkedBody struct {
	from      *bufio.Reader
	response  *http.Response // receives the trailer fields
	remaining uint64         // bytes of the current chunk that were not read yet
	inChunk   bool           // the line end after the current chunk was not read yet
	overhead  int            // bytes of framing so far, less allowances for the bytes that they carried
	lastChunk bool           // the last chunk was read
	ended     bool           // the trailer section was read
}

// bodyOf returns the reader of an answer's body. The connection's reader stands at the start of the body.
func (c *conn) bodyOf(resp *http.Response) io.Reader {
	chunked := len(resp.TransferEncoding) > 0
	if !chunked || resp.Body == http.NoBody {
		return resp.Body
	}
	return &chunkedBody{from: c.reader, response: resp}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for b.remaining == 0 {
		if b.ended {
			return 0, io.EOF
		}
		if err := b.advance(); err != nil {
			return 0, unexpectedEOF(err)
		}
	}
	n, err := b.from.Read(p[:min(uint64(len(p)), b.remaining)])
	b.remaining -= uint64(n)
	return n, unexpectedEOF(err)
}

// advance reads the framing that follows: the end of a chunk, the size of the next one, or the trailer section.
func (b *chunkedBody) advance() error {
	switch {
	case b.lastChunk:
		return b.readTrailer()
	case b.inChunk:
		return b.endChunk()
	}
	return b.beginChunk()
}

// endChunk reads the line end after a chunk's data.
func (b *chunkedBody) endChunk() error {
	end, err := b.from.Peek(len("\r\n"))
	if err != nil {
		return err
	}
	if string(end) != "\r\n" {
		return errInvalidChunk
	}
	b.from.Discard(len(end))
	b.inChunk = false
	return nil
}

// beginChunk reads the line with a chunk's size. It ignores chunk extensions.
func (b *chunkedBody) beginChunk() error {
	line, err := b.peekLine()
	if err != nil {
		return err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	b.overhead += len(line) - allowedOverhead(size)
	if b.overhead = max(0, b.overhead); b.overhead > maxChunkOverheadBytes {
		return errInvalidChunk
	}
	b.from.Discard(len(line))
	b.remaining, b.inChunk, b.lastChunk = size, size > 0, size == 0
	return nil
}

// peekLine waits until a line is buffered and returns it without consuming it.
func (b *chunkedBody) peekLine() ([]byte, error) {
	for {
		buffered, _ := b.from.Peek(b.from.Buffered())
		if end := bytes.IndexByte(buffered, '\n'); end >= 0 {
			return buffered[:end+1], nil
		}
		if len(buffered) == b.from.Size() {
			return nil, errInvalidChunk
		}
		if _, err := b.from.Peek(len(buffered) + 1); err != nil {
			return nil, err
		}
	}
}

// parseChunkSize returns the size on a chunk's first line, which is hexadecimal.
func parseChunkSize(line []byte) (uint64, error) {
	if bytes.IndexByte(line, '\r') != len(line)-len("\r\n") {
		return 0, errInvalidChunk
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t\r\n")
	if bytes.ContainsAny(digits, "+-_") { // accepted by ParseUint, not by RFC 9112
		return 0, errInvalidChunk
	}
	size, err := strconv.ParseUint(string(digits), 16, 64)
	if err != nil {
		return 0, errInvalidChunk
	}
	return size, nil
}

// readTrailer reads the trailer section and adds its fields to the response.
func (b *chunkedBody) readTrailer() error {
	if err := b.awaitTrailer(); err != nil {
		return err
	}
	fields, err := textproto.NewReader(b.from).ReadMIMEHeader()
	if err != nil {
		return err
	}
	b.ended = true
	if len(fields) > 0 && b.response.Trailer == nil {
		b.response.Trailer = http.Header{}
	}
	for name, values := range fields {
		b.response.Trailer[name] = values
	}
	return nil
}

// awaitTrailer waits until the whole trailer section is buffered. It fails if the section does not fit the buffer.
func (b *chunkedBody) awaitTrailer() error {
	for {
		buffered, _ := b.from.Peek(b.from.Buffered())
		if bytes.HasPrefix(buffered, []byte("\r\n")) || bytes.Contains(buffered, headEnd) {
			return nil
		}
		if len(buffered) == b.from.Size() {
			return errInvalidChunk
		}
		if _, err := b.from.Peek(len(buffered) + 1); err != nil {
			return err
		}
	}
}

// unexpectedEOF returns err, or io.ErrUnexpectedEOF for io.EOF: a connection that ends within the body has truncated it.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
