package adminapi

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// serve reads a command from a connection, executes it with the handler and writes the response. It writes
// none if the connection was evicted or ended before the end of the command.
func (s *server) serve(ctx context.Context, c *connection) {
	c.SetDeadline(time.Now().Add(readTimeout))
	line, err := readLine(c)
	if !s.slots.beginExecution(c) {
		return
	}
	var malformed *malformedLineError
	if err != nil && !errors.As(err, &malformed) {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.SetDeadline(time.Now().Add(lingerTimeout))
			io.WriteString(c, "-ERR no complete line within 5 s\n")
		}
		return
	}
	text := ""
	if err == nil {
		text, err = s.execute(ctx, line)
	}
	c.SetDeadline(time.Now().Add(CommandTimeout))
	if _, err := io.WriteString(c, formatResponse(text, err)); err != nil {
		return
	}
	s.slots.endExecution(c)
	discardRest(c)
}

// execute parses a command line and executes the command with the handler, whose context ends after
// CommandTimeout.
func (s *server) execute(ctx context.Context, line []byte) (text string, err error) {
	c, err := ParseCommand(line)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, CommandTimeout)
	defer cancel()
	return s.handler.Handle(ctx, c)
}

// discardRest ends the sending side of a connection, and discards the bytes that follow the command until the
// operator ends the connection, lingerTimeout has passed or maxDiscardedBytes were read.
func discardRest(c *connection) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c, maxDiscardedBytes)
}
