package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"yokestall/internal/fake/fleet"
)

// Role is what a process of a run is.
type Role string

// The roles, as figures' keys name them.
const (
	VoterRole Role = "voter"
	NodeRole  Role = "node" // hollow nodes that share a process
	ServeRole Role = "serve"
)

// replyTimeout is how much longer than asked for an answer may take before the process counts as stuck.
const replyTimeout = time.Minute

// member is a process of a run.
type member struct {
	role      Role
	name      string
	nodeCount int // in it
	proc      *fleet.Process

	mu       sync.Mutex
	commands *json.Encoder
	replies  chan Reply
}

// start starts the process and waits until it is ready.
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

// readReplies passes on what the process answers, until it ends.
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

func (m *member) awaitReply(ctx context.Context, longest time.Duration) (Reply, error) {
	ctx, stop := context.WithTimeout(ctx, longest+replyTimeout)
	defer stop()
	select {
	case r, more := <-m.replies:
		switch {
		case !more:
			return r, fmt.Errorf("%s ended: %s", m.name, m.log())
		case r.Error != "":
			return r, fmt.Errorf("%s: %s", m.name, r.Error)
		}
		return r, nil
	case <-ctx.Done():
		return Reply{}, fmt.Errorf("%s does not answer: %w", m.name, ctx.Err())
	}
}

// log gives the end of what the process logged.
func (m *member) log() string {
	const most = 2000
	text, err := os.ReadFile(filepath.Join(m.proc.Dir, "log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-most):])
}

// call asks the process for something.
func (m *member) call(ctx context.Context, c Command) (Reply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.commands.Encode(c); err != nil {
		return Reply{}, fmt.Errorf("%s: %w: %s", m.name, err, m.log())
	}
	return m.awaitReply(ctx, c.Timeout)
}

// kill ends the process, and what it still answers.
func (m *member) kill() {
	m.proc.Kill()
	if m.replies != nil {
		for range m.replies {
		}
	}
}

// members are the processes of a run.
type members []*member

// call asks all of them at once, each for what command gives; nil: nothing.
func (list members) call(ctx context.Context, command func(m *member) *Command) ([]Reply, error) {
	replies, errs := make([]Reply, len(list)), make([]error, len(list))
	var all sync.WaitGroup
	for i, m := range list {
		if c := command(m); c != nil {
			all.Go(func() { replies[i], errs[i] = m.call(ctx, *c) })
		}
	}
	all.Wait()
	return replies, errors.Join(errs...)
}

// withRole gives those withRole a role.
func (list members) withRole(role Role) (of members) {
	for _, m := range list {
		if m.role == role {
			of = append(of, m)
		}
	}
	return of
}

// toAll is a command that all are given.
func toAll(c Command) func(*member) *Command { return func(*member) *Command { return &c } }
