package h2flood

import "encoding/binary"

// The types of frames that the guard distinguishes (RFC 9113, 6).
const (
	frameData         = 0x0
	frameHeaders      = 0x1
	frameRSTStream    = 0x3
	frameSettings     = 0x4
	framePing         = 0x6
	frameWindowUpdate = 0x8
	frameContinuation = 0x9
)

// The flags of frames that the guard reads (RFC 9113, 6).
const (
	flagEndStream = 0x1 // flag of a DATA frame
	flagAck       = 0x1 // flag of SETTINGS and PING frames
)

const (
	// frameHeaderBytes is the length of a frame's header (RFC 9113, 4.1).
	frameHeaderBytes = 9
	// errorCodeBytes is the length of the payload of a RST_STREAM frame, which is an error code (RFC 9113, 6.4).
	errorCodeBytes = 4
)

// frame has the fields of an HTTP/2 frame that the guard reads.
type frame struct {
	length    int // length of the payload, in bytes
	kind      byte
	flags     byte
	errorCode uint32 // set for RST_STREAM frames whose payload has errorCodeBytes bytes; undefined for others
}

// frameScanner finds the frames in the bytes of one direction of a connection. The bytes may arrive in pieces of any length.
type frameScanner struct {
	bytesToSkip int // number of bytes until the next frame's header
	buffer      [frameHeaderBytes + errorCodeBytes]byte
	buffered    int // number of bytes of the current frame in buffer
}

// scan calls count for each frame, as soon as the frame's header is complete and, for a RST_STREAM frame, its error code. It
// returns the first error of count, without scanning the rest of p.
func (s *frameScanner) scan(p []byte, count func(frame) error) error {
	for len(p) > 0 {
		if s.bytesToSkip > 0 {
			n := min(s.bytesToSkip, len(p))
			s.bytesToSkip -= n
			p = p[n:]
			continue
		}
		n := copy(s.buffer[s.buffered:s.needed()], p)
		s.buffered += n
		p = p[n:]
		if s.buffered < s.needed() { // the header or the error code of a RST_STREAM frame is incomplete
			continue
		}
		f := s.frame()
		s.bytesToSkip = frameHeaderBytes + f.length - s.buffered
		s.buffered = 0
		if err := count(f); err != nil {
			return err
		}
	}
	return nil
}

// frame returns the frame that is in the buffer.
func (s *frameScanner) frame() frame {
	return frame{
		length: s.length(), kind: s.buffer[3], flags: s.buffer[4],
		errorCode: binary.BigEndian.Uint32(s.buffer[frameHeaderBytes:]),
	}
}

// length returns the length of the payload of the frame in the buffer.
func (s *frameScanner) length() int {
	return int(s.buffer[0])<<16 | int(s.buffer[1])<<8 | int(s.buffer[2])
}

// needed returns the number of bytes that the buffer must have of the current frame: those of its header and, once the
// header shows that the frame is a RST_STREAM frame with an error code, those of the error code.
func (s *frameScanner) needed() int {
	if s.buffered >= frameHeaderBytes && s.buffer[3] == frameRSTStream && s.length() >= errorCodeBytes {
		return frameHeaderBytes + errorCodeBytes
	}
	return frameHeaderBytes
}
