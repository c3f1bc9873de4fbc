// Package adminapi is the protocol of a node's admin API: one command line in and one response line
// out per connection. It decides nothing; a Handler executes the commands.
//
// It shares only the processor with clients' requests: connection slots, buffers and descriptors are
// its own. A connection that occupies a slot without completing its command is evicted by the next.
package adminapi

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// MaxConnections bounds the open connections. A further one evicts the connection that has been
	// sending its command for longest.
	MaxConnections = 16
	// MaxDescriptors bounds the descriptors of the admin API: the listener, the connections and one
	// that is being accepted.
	MaxDescriptors = MaxConnections + 2
	// CommandTimeout bounds the execution of a command; operators wait for a second.
	CommandTimeout = 800 * time.Millisecond
	// readTimeout bounds the reading of a command.
	readTimeout = 5 * time.Second
	// acceptRetryDelay follows a failed accept, such as for want of descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// lingerTimeout and maxDiscardedBytes bound the reading of what follows a command. Closing a
	// socket with unread bytes resets the connection, and the reset may overtake the response.
	lingerTimeout     = 100 * time.Millisecond
	maxDiscardedBytes = 4 << 10
)

// Handler executes commands. It has to return within CommandTimeout, which bounds the context. The
// text follows +OK in the response, the error's text follows -ERR.
type Handler interface {
	Handle(ctx context.Context, c Command) (text string, err error)
}

// Serve serves the admin API until the context ends. It closes the listener, and returns nil once all
// connections have ended.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	s := &server{handler: h}
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.slots.closeAll()
	})
	defer stop()
	defer s.connections.Wait()
	defer s.slots.closeAll()
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			s.start(ctx, conn)
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		default:
			select {
			case <-time.After(acceptRetryDelay):
			case <-ctx.Done():
			}
		}
	}
}

// server serves connections; it has one goroutine for each, which ends with the connection.
type server struct {
	handler     Handler
	connections sync.WaitGroup
	slots       slots
}

// start serves a connection if a slot is free or can be freed, and closes it otherwise.
func (s *server) start(ctx context.Context, conn net.Conn) {
	c := s.slots.acquire(conn)
	if c == nil {
		conn.Close()
		return
	}
	s.connections.Go(func() {
		defer s.slots.release(c)
		s.serve(ctx, c)
	})
}
