package h1client

import (
	"errors"
	"io"
	"os"
	"time"
)

// This file reads bodies of unknown length for Options.StreamLargeBodies. Such a body is buffered as long as another
// attempt may still replace it, that is until it has ended, exceeds MaxBody, or the engine has it passed on because the
// client's answer is due (engine.Call.PassOnRequested).

// bodyReadBytes is the most that is read of a buffered body at a time.
const bodyReadBytes = 4 << 10

// awaitBody waits until a byte of the answer's body is buffered. It returns the error of reading.
func (c *conn) awaitBody() error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	c.extendTransferDeadline()
	_, err := c.reader.Peek(1)
	return err
}

// bufferBody reads a body of unknown length. streams reports that the body has to be returned as a stream after the
// beginning that bufferBody has read, because it is longer than MaxBody or is to be passed on before its end.
func (c *conn) bufferBody(source io.Reader) (body []byte, streams bool, err error) {
	defer c.endOnPassOn()()
	lastData := time.Now()
	for len(body) <= MaxBody {
		c.readBudget = maxAnswerBytes // per read, not per body
		c.setBufferingDeadline()
		if c.passOnRequested() {
			return body, true, nil
		}
		n, err := readInto(&body, source)
		switch {
		case n > 0:
			lastData = time.Now()
			c.reportBody(n)
		case err == io.EOF:
			return body, false, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && (time.Since(lastData) < AnswerTransferTimeout || c.reportStall()):
		case err != nil:
			return body, false, err
		}
	}
	return body, true, nil
}

// endOnPassOn has a Read in progress end when the answer is to be passed on, until the returned function is called.
func (c *conn) endOnPassOn() (stop func()) {
	call := c.call
	if call == nil {
		return func() {}
	}
	call.OnPassOn(func() { c.SetReadDeadline(expiredDeadline) })
	return func() { call.OnPassOn(nil) }
}

// readInto appends up to bodyReadBytes that it reads from source to body, and returns their number.
func readInto(body *[]byte, source io.Reader) (int, error) {
	b := *body
	if cap(b)-len(b) < bodyReadBytes {
		grown := make([]byte, len(b), min(2*cap(b)+2*bodyReadBytes, MaxBody+2*bodyReadBytes))
		copy(grown, b)
		b = grown
	}
	n, err := source.Read(b[len(b) : len(b)+bodyReadBytes])
	*body = b[:len(b)+n]
	return n, err
}

// setBufferingDeadline sets the time at which a buffered body that sends nothing has paused.
func (c *conn) setBufferingDeadline() {
	c.extendTransferDeadline()
	c.buffering = true
}

// passOnRequested reports whether the answer is to be passed on.
func (c *conn) passOnRequested() bool { return c.call != nil && c.call.PassOnRequested() }

// reportBody reports n bytes of the body to the attempt.
func (c *conn) reportBody(n int) {
	if c.call != nil {
		c.call.ReportBody(n)
	}
}

// reportStall reports a pause to the attempt. It returns false if there is none, and the answer can't be waited for.
func (c *conn) reportStall() bool { return c.call != nil && c.call.ReportStall() }
