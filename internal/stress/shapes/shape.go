// Package shapes runs HTTP/1.1 exchanges whose client and endpoint write and read in unusual ways, through the server under
// test, and judges each answer by the rules that clients rely on: one whole final answer, in time. A Shape describes one
// exchange; Draw draws it. The endpoint learns the shape from the query of the request.
package shapes

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"
)

// Framing is the way in which a message marks its end (RFC 9112, 6.3).
type Framing string

// The framings. A request can't use CloseDelimited.
const (
	Length         Framing = "length"
	Chunked        Framing = "chunked"
	CloseDelimited Framing = "close"
)

// Place is a place in a message at which its sender pauses.
type Place string

// The places. Nowhere stands for no pause.
const (
	Nowhere   Place = ""
	InHead    Place = "in the head"
	Beginning Place = "before the body"
	Middle    Place = "in the middle of the body"
	End       Place = "before the body's last bytes"
)

// Pause is a pause of a sender.
type Pause struct {
	At     Place         `json:",omitempty"`
	Length time.Duration `json:",omitempty"`
}

// Message is how one side writes a message.
type Message struct {
	Framing Framing
	Size    int // length of the body in bytes
	Pause   Pause
	// WriteFor is the time over which the body is written; 0 means at once.
	WriteFor time.Duration `json:",omitempty"`
	// Lumps is the number of equal parts in which the body is written, LumpGap apart; 0 means that the other fields say how.
	Lumps   int           `json:",omitempty"`
	LumpGap time.Duration `json:",omitempty"`
}

// duration returns how long the sender takes by its own will.
func (m Message) duration() time.Duration {
	return m.Pause.Length + m.WriteFor + time.Duration(max(0, m.Lumps-1))*m.LumpGap
}

// Shape is an exchange. Its zero StopReading and AnswerAfter mean that the endpoint reads the whole request before it answers.
type Shape struct {
	Class   string // name of the class, which is the first part of the path
	Method  string
	Keyed   bool          // the request has an Idempotency-Key
	Timeout time.Duration // what the client waits for the answer, from its last byte on
	Request Message
	// StopReading is the number of bytes of the request's body after which the endpoint reads and answers nothing more; 0 if
	// it reads all.
	StopReading int `json:",omitempty"`
	// ReadRate is the number of bytes a second at which the endpoint reads the request's body; 0 means at once.
	ReadRate int `json:",omitempty"`
	// AnswerAfter is the number of bytes of the request's body after which the endpoint answers without reading more; 0 if it
	// reads all.
	AnswerAfter int `json:",omitempty"`
	Answer      Message
	Client      Client `json:"-"`
	// Gateway says that the server under test is a gateway: it counts the time of a request from its head, so that the client
	// allows for the time that it takes to write, and passes on an answer of any length that pauses.
	Gateway bool `json:"-"`
}

// A gateway wants a body of at most shortBodyBytes within two seconds; shortBodyTime is less than that.
const (
	shortBodyBytes = 64 << 10
	shortBodyTime  = 1100 * time.Millisecond
)

// ForGateway returns the shape for a server that is a gateway.
func (s Shape) ForGateway() Shape {
	s.Gateway = true
	if s.Request.Size <= shortBodyBytes {
		s.Request.WriteFor = min(s.Request.WriteFor, shortBodyTime)
		s.Request.Pause.Length = min(s.Request.Pause.Length, shortBodyTime)
	}
	return s
}

// statedTimeout returns the time that the client states in its request.
func (s Shape) statedTimeout() time.Duration {
	if s.Gateway {
		return s.Timeout + s.Request.duration()
	}
	return s.Timeout
}

// Client is how the client handles its connection.
type Client struct {
	ReadsWhileWriting bool // the client reads the answer as it comes, and not only when its request is written
	SmallBuffer       bool // its kernel holds little of what it has written
}

// String returns a description of the client for messages.
func (c Client) String() string {
	text := "writes first"
	if c.ReadsWhileWriting {
		text = "reads while it writes"
	}
	if c.SmallBuffer {
		text += " from a small buffer"
	}
	return text
}

// String returns a description of the shape for messages.
func (s Shape) String() string {
	text := fmt.Sprintf("%s %s, waits %v; request %v", s.Method, s.Class, s.Timeout, s.Request)
	if s.StopReading > 0 {
		return text + fmt.Sprintf("; endpoint stops reading after %d bytes", s.StopReading)
	}
	if s.ReadRate > 0 {
		text += fmt.Sprintf("; client %v; endpoint reads %d bytes a second", s.Client, s.ReadRate)
	}
	if s.AnswerAfter > 0 {
		text += fmt.Sprintf("; endpoint answers after %d bytes", s.AnswerAfter)
	}
	return text + fmt.Sprintf("; answer %v", s.Answer)
}

// String returns a description of the message.
func (m Message) String() string {
	text := fmt.Sprintf("%s of %d", m.Framing, m.Size)
	if m.Pause.At != Nowhere {
		text += fmt.Sprintf(", %v %s", m.Pause.Length, m.Pause.At)
	}
	if m.Lumps > 0 {
		text += fmt.Sprintf(", %d lumps %v apart", m.Lumps, m.LumpGap)
	}
	if m.WriteFor > 0 {
		text += fmt.Sprintf(", over %v", m.WriteFor)
	}
	return text
}

// Target returns the target of the shape's request. Its query tells the endpoint the shape.
func (s Shape) Target() string {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // a Shape has no values that JSON can't hold
	}
	return "/" + s.Class + "?shape=" + url.QueryEscape(string(text))
}

// parseTarget returns the shape that a request's query holds.
func parseTarget(query url.Values) (s Shape, err error) {
	err = json.Unmarshal([]byte(query.Get("shape")), &s)
	return s, err
}

// readTime returns how long the endpoint takes to read the request.
func (s Shape) readTime() time.Duration {
	if s.ReadRate == 0 {
		return 0
	}
	return time.Duration(s.Request.Size) * time.Second / time.Duration(s.ReadRate)
}

const (
	// timeLimitSlack is how much longer than Shape.Timeout a final answer may take.
	timeLimitSlack = 500 * time.Millisecond
	// soundMargin is the time that a server under test gets for its own part of an exchange.
	soundMargin = 300 * time.Millisecond
	// transferRate is the least number of bytes a second that pass the server under test where nobody holds them back.
	transferRate = 32 << 20
)

// sound reports whether the endpoint reads the whole request and its answer is there in time, so that it must be served. Of a
// long answer the first bytes have to be there in time.
func (s Shape) sound() bool {
	if s.StopReading > 0 {
		return false
	}
	if s.Answer.Lumps > 0 && s.Answer.Size > longAnswerBytes {
		return true
	}
	return 2*s.readTime()+s.Answer.duration()+soundMargin <= s.Timeout // small buffers hold a reader back by as long as it takes
}

// passedOnLate reports whether the answer ends after its client's time, so that it either is refused in time or begins in time.
func (s Shape) passedOnLate() bool {
	return s.Answer.duration() >= s.Timeout && (s.Answer.Framing != Length || s.Gateway)
}

// timeLimit returns the longest time from the first byte of a request to its answer, if the client writes at once. The time of
// the client also passes while it can't write, because its endpoint does not read.
func (s Shape) timeLimit() (limit time.Duration, limited bool) {
	transfer := time.Duration(s.Request.Size) * time.Second / transferRate
	return s.Timeout + timeLimitSlack + transfer, s.ReadRate > 0 && s.Request.duration() == 0
}
