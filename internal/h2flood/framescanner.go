package h2flood

import "encoding/binary"

// The types of frames that are distinguished (RFC 9113, 6).
const (
	data         = 0x0
	headers      = 0x1
	rstStream    = 0x3
	settings     = 0x4
	ping         = 0x6
	windowUpdate = 0x8
	continuation = 0x9
)

// The flags of frames that are looked at (RFC 9113, 6).
const (
	flagEndStream = 0x1 // of DATA
	flagAck       = 0x1 // of SETTINGS and PING
)

const (
	// frameHeaderBytes is the length of a frame's header (RFC 9113, 4.1).
	frameHeaderBytes = 9
	// errorCodeBytes is the length of a RST_STREAM frame's payload, its error code (RFC 9113, 6.4).
	errorCodeBytes = 4
)

// frame is what is read of a frame.
type frame struct {
	length    int // of the payload, bytes
	kind      byte
	flags     byte
	errorCode uint32 // of a RST_STREAM frame with a payload of errorCodeBytes; undefined for others
}

// frameScanner finds the frames in the bytes of one direction, whatever parts they come in.
type frameScanner struct {
	skip     int // bytes until the next frame's header
	buffer   [frameHeaderBytes + errorCodeBytes]byte
	buffered int // bytes of the current frame in buffer
}

// scan calls count for each frame as soon as its header, and the error code of a RST_STREAM frame, is complete. It
// returns at the first error of count.
func (s *frameScanner) scan(p []byte, count func(frame) error) error {
	for len(p) > 0 {
		if s.skip > 0 {
			n := min(s.skip, len(p))
			s.skip -= n
			p = p[n:]
			continue
		}
		n := copy(s.buffer[s.buffered:s.needed()], p)
		s.buffered += n
		p = p[n:]
		if s.buffered < s.needed() { // a complete header may show that the error code is needed too
			continue
		}
		f := s.frame()
		s.skip = frameHeaderBytes + f.length - s.buffered
		s.buffered = 0
		if err := count(f); err != nil {
			return err
		}
	}
	return nil
}

// frame returns the frame in the buffer.
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

// needed returns how many bytes of the frame have to be in the buffer, as far as those that are there say.
func (s *frameScanner) needed() int {
	if s.buffered >= frameHeaderBytes && s.buffer[3] == rstStream && s.length() >= errorCodeBytes {
		return frameHeaderBytes + errorCodeBytes
	}
	return frameHeaderBytes
}
