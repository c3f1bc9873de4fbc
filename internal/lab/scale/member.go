package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"yokestall/internal/fake/fleet"
)

// Role is the role of a process in a run.
type Role string

// The roles of processes. Their values are parts of figures' keys.
const (
	VoterRole Role = "voter" // a complete node that votes
	NodeRole  Role = "node"  // a process shared by hollow nodes
	ServeRole Role = "serve" // a complete node that does not vote
)

const (
	replyTimeout = time.Minute // how long a reply may take in addition to the command's own Timeout
	maxLogBytes  = 2000        // how much of the end of a process's log an error quotes
)

// member is a process of a run, with a pipe for commands and one for replies.
type member struct {
	role      Role
	name      string
	nodeCount int // number of nodes in the process
	proc      *fleet.Process

	mu       sync.Mutex // serializes calls, so that each reply belongs to the last command
	commands *json.Encoder
	replies  chan Reply // closed when the process's output has ended
}

// start starts the process and waits for the empty reply by which the process signals that it is ready.
func (m *member) start(ctx context.Context) error {
	if err := m.proc.Start(ctx); err != nil {
		return err
	}
	in, out := m.proc.Pipes()
	m.commands, m.replies = json.NewEncoder(in), make(chan Reply)
	go m.readReplies(out)
	_, err := m.awaitReply(ctx, 0)
	return err
}

// readReplies forwards the process's replies to m.replies until the process's output ends or is not valid JSON. Then it
// closes m.replies.
func (m *member) readReplies(out io.Reader) {
	defer close(m.replies)
	for d := json.NewDecoder(out); ; {
		var r Reply
		if d.Decode(&r) != nil {
			return
		}
		m.replies <- r
	}
}

// awaitReply returns the process's next reply. It returns an error if the reply has one, if the process has ended, or if no
// reply arrives within timeout plus replyTimeout.
func (m *member) awaitReply(ctx context.Context, timeout time.Duration) (Reply, error) {
	ctx, stop := context.WithTimeout(ctx, timeout+replyTimeout)
	defer stop()
	select {
	case r, open := <-m.replies:
		switch {
		case !open:
			return r, fmt.Errorf("process %s ended before its reply; end of its log: %s", m.name, m.log())
		case r.Error != "":
			return r, fmt.Errorf("process %s: %s", m.name, r.Error)
		}
		return r, nil
	case <-ctx.Done():
		return Reply{}, fmt.Errorf("process %s sent no reply: %w", m.name, ctx.Err())
	}
}

// log returns the end of the process's log, or the error of reading the log.
func (m *member) log() string {
	text, err := os.ReadFile(filepath.Join(m.proc.Dir, "log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-maxLogBytes):])
}

// call sends the process a command and returns its reply.
func (m *member) call(ctx context.Context, c Command) (Reply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.commands.Encode(c); err != nil {
		return Reply{}, fmt.Errorf("sending a command to process %s: %w; end of its log: %s", m.name, err, m.log())
	}
	return m.awaitReply(ctx, c.Timeout)
}

// kill kills the process and waits until readReplies has ended.
func (m *member) kill() {
	m.proc.Kill()
	if m.replies != nil {
		for range m.replies {
		}
	}
}

// members are the processes of a run.
type members []*member

// call sends commands to the processes concurrently, and returns the replies in the order of list. The function command
// returns the command for a process, or nil to send none; it is called in the order of list.
func (list members) call(ctx context.Context, command func(m *member) *Command) ([]Reply, error) {
	commands := make([]*Command, len(list))
	for i, m := range list {
		commands[i] = command(m)
	}
	replies := make([]Reply, len(list))
	err := forEach(list, func(i int, m *member) (err error) {
		if commands[i] != nil {
			replies[i], err = m.call(ctx, *commands[i])
		}
		return err
	})
	return replies, err
}

// withRole returns the processes of a role.
func (list members) withRole(role Role) (found members) {
	for _, m := range list {
		if m.role == role {
			found = append(found, m)
		}
	}
	return found
}

// toAll returns a function for members.call that sends each process the same command.
func toAll(c Command) func(*member) *Command {
	return func(*member) *Command { return &c }
}
