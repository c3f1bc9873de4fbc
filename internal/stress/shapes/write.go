package shapes

import (
	"fmt"
	"io"
	"net"
	"time"

	"yokestall/internal/testutil"
)

const (
	// writeSteps is the number of writes of a body that takes Message.WriteFor.
	writeSteps = 24
	// tailBytes is the number of a body's last bytes, which follow a pause at End.
	tailBytes = 16
)

// write writes a message with the head, which lacks the fields that frame the body and the empty line.
func (m Message) write(w io.Writer, head string) error {
	switch m.Framing {
	case Length:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", m.Size)
	case Chunked:
		head += "Transfer-Encoding: chunked\r\n\r\n"
	case CloseDelimited:
		head += "Connection: close\r\n\r\n"
	}
	body := testutil.Bytes(m.Size) // not copied before or between the writes, which would hold up the peer
	if err := m.writePaused(w, InHead, head[:len(head)/2], head[len(head)/2:]); err != nil {
		return err
	}
	if m.Lumps > 0 {
		return m.writeLumps(w, body)
	}
	tail := max(0, m.Size-tailBytes)
	middle := tail / 2
	m.pauseAt(Beginning)
	if err := m.writeBody(w, body[:middle]); err != nil {
		return err
	}
	m.pauseAt(Middle)
	if err := m.writeBody(w, body[middle:tail]); err != nil {
		return err
	}
	m.pauseAt(End)
	if err := m.writePart(w, body[tail:]); err != nil {
		return err
	}
	return m.writeEnd(w)
}

// writeLumps writes the body in lumps.
func (m Message) writeLumps(w io.Writer, body []byte) error {
	for i := range m.Lumps {
		if i > 0 {
			time.Sleep(m.LumpGap)
		}
		if err := m.writePart(w, body[len(body)*i/m.Lumps:len(body)*(i+1)/m.Lumps]); err != nil {
			return err
		}
	}
	return m.writeEnd(w)
}

// writeEnd writes what ends the message.
func (m Message) writeEnd(w io.Writer) error {
	if m.Framing != Chunked {
		return nil
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// writePaused writes two parts, with the message's pause between them if it is at the place.
func (m Message) writePaused(w io.Writer, place Place, first, second string) error {
	if m.Pause.At != place {
		_, err := io.WriteString(w, first+second)
		return err
	}
	if _, err := io.WriteString(w, first); err != nil {
		return err
	}
	m.pauseAt(place)
	_, err := io.WriteString(w, second)
	return err
}

// pauseAt waits if the message pauses at the place.
func (m Message) pauseAt(place Place) {
	if m.Pause.At == place {
		time.Sleep(m.Pause.Length)
	}
}

// writeBody writes half of a body in the time that it takes.
func (m Message) writeBody(w io.Writer, half []byte) error {
	if m.WriteFor == 0 {
		return m.writePart(w, half)
	}
	steps := writeSteps / 2
	for i := range steps {
		if err := m.writePart(w, half[len(half)*i/steps:len(half)*(i+1)/steps]); err != nil {
			return err
		}
		time.Sleep(m.WriteFor / writeSteps)
	}
	return nil
}

// writePart writes a part of a body with its framing.
func (m Message) writePart(w io.Writer, part []byte) error {
	pieces := net.Buffers{part}
	if m.Framing == Chunked && len(part) > 0 {
		pieces = net.Buffers{fmt.Appendf(nil, "%x\r\n", len(part)), part, []byte("\r\n")}
	}
	_, err := pieces.WriteTo(w)
	return err
}
