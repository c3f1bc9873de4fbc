package testutil

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// Logs is the log of a program under test. Its lines go to the test's own output, which the test shows only if it
// fails. Its methods are safe for concurrent use.
type Logs struct {
	t testing.TB

	mu      sync.Mutex
	text    bytes.Buffer
	changed chan struct{} // closed at the next line
	ended   bool          // the test has ended: t must not be used
}

// NewLogs returns an empty log that writes to t until the test ends.
func NewLogs(t testing.TB) *Logs {
	l := &Logs{t: t, changed: make(chan struct{})}
	t.Cleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ended = true
	})
	return l
}

// DiscardLogger is a logger for tests that would log thousands of lines.
var DiscardLogger = slog.New(slog.DiscardHandler)

// Log returns a logger whose lines go to the test's own output.
func Log(t testing.TB) *slog.Logger { return NewLogs(t).Logger() }

// Logger returns a logger that writes to the log.
func (l *Logs) Logger() *slog.Logger { return slog.New(slog.NewTextHandler(l, nil)) }

// Write implements io.Writer.
func (l *Logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.t.Logf("%s", bytes.TrimRight(p, "\n"))
	}
	l.text.Write(p)
	close(l.changed)
	l.changed = make(chan struct{})
	return len(p), nil
}

// String returns all lines so far.
func (l *Logs) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Wait returns the first line that contains a text. The test fails if none comes within WaitTimeout.
func (l *Logs) Wait(text string) string {
	l.t.Helper()
	timeout := time.After(WaitTimeout)
	for {
		l.mu.Lock()
		all, changed := l.text.String(), l.changed
		l.mu.Unlock()
		for line := range strings.Lines(all) {
			if strings.Contains(line, text) {
				return line
			}
		}
		select {
		case <-changed:
		case <-timeout:
			l.t.Fatalf("%q never stands in the log:\n%s", text, all)
		}
	}
}
