// Package adminapi implements the protocol of a node's admin API: on each connection an operator sends one
// command line and gets one response line. A Handler executes the commands.
//
// The admin API has its own connection slots, buffers and descriptors, and shares only the processor with
// clients' requests. When all slots are taken, a new connection evicts one whose command is not being
// executed, preferably one that already has its response. If commands are being executed or answered on all
// connections, the new connection is closed.
package adminapi

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// MaxConnections is the maximum number of open connections. A further connection evicts one that
	// already has its response or, if there is none, the one that has been sending its command for longest.
	MaxConnections = 16
	// MaxDescriptors is the maximum number of descriptors of the admin API: those of the listener, of the
	// connections and of a connection that is being accepted.
	MaxDescriptors = MaxConnections + 2
	// CommandTimeout bounds the execution of a command. Operators wait one second for the response.
	CommandTimeout = 800 * time.Millisecond
	// readTimeout bounds the time from accepting a connection to the end of its command. The response to a
	// command that is not complete by then states this time too.
	readTimeout = 5 * time.Second
	// acceptRetryDelay is the delay after a failed accept, such as one for lack of descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// lingerTimeout and maxDiscardedBytes bound the reading of bytes that follow a command. These bytes
	// are read since closing a socket with unread bytes resets the connection, and the operator may then
	// lose the response.
	lingerTimeout     = 100 * time.Millisecond
	maxDiscardedBytes = 4 << 10
)

// Handler executes the commands of the admin API.
type Handler interface {
	// Handle executes a command. It has to return within CommandTimeout, at the end of which the context
	// ends. In the response, text follows +OK, or the text of err follows -ERR.
	Handle(ctx context.Context, c Command) (text string, err error)
}

// Serve serves the admin API until the context ends, which closes the listener and all connections, or until
// the listener is closed. It returns nil once all connections have ended.
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

// server serves the connections of the admin API, each in a goroutine that ends with the connection.
type server struct {
	handler     Handler
	connections sync.WaitGroup
	slots       slots
}

// start serves a connection in a new goroutine if a slot is free or another connection can be evicted.
// Otherwise start closes the connection.
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
