package testutil

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// Logs is the log of a program under test. It writes its lines to the test's own log too, which go test shows only if the test
// fails. The methods of Logs are safe for concurrent use.
type Logs struct {
	t testing.TB

	mu      sync.Mutex
	text    bytes.Buffer  // all lines
	changed chan struct{} // closed and replaced when the next line is written
	ended   bool          // whether the test has ended, so that t must not be used
}

// NewLogs returns an empty log whose lines go to t's log until the test ends.
func NewLogs(t testing.TB) *Logs {
	l := &Logs{t: t, changed: make(chan struct{})}
	t.Cleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ended = true
	})
	return l
}

// DiscardLogger is a logger without output, for tests that would log thousands of lines.
var DiscardLogger = slog.New(slog.DiscardHandler)

// Log returns a logger whose lines go to the test's own log.
func Log(t testing.TB) *slog.Logger { return NewLogs(t).Logger() }

// Logger returns a logger that writes to l.
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

// Wait returns the first line that contains text. The test fails if the log has no such line within WaitTimeout.
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
			l.t.Fatalf("timed out waiting for a log line with %q; the log is:\n%s", text, all)
		}
	}
}
