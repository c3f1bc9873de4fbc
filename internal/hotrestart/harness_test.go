package hotrestart

import (
	"context"
	"testing"
	"time"

	"yokestall/internal/adminstate"
	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// process is a member of the folder with its administrative state. The instance "nobody" is unknown to it.
type process struct {
	*Folder
	state adminstate.State
}

var _ AdminState = (*process)(nil)

func (p *process) Validate(c adminstate.Change) (bool, error) {
	return p.state.HasEffect(c), p.state.Validate(c, func(id string) bool { return id != "nobody" })
}

func (p *process) Apply(c adminstate.Change) { p.state.Apply(c) }

func (p *process) MinimalChanges() []adminstate.Change { return p.state.MinimalChanges() }

// join returns a process that has joined the folder below dir and applied the record.
func join(t testing.TB, dir string) *process {
	t.Helper()
	f, changes, err := Join(dir, "n0", testutil.Log(t))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{Folder: f}
	for _, c := range changes {
		p.Apply(c)
	}
	t.Cleanup(func() { p.Close() })
	return p
}

// kill simulates the end of a killed process: its locks are released, its files stay.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.presenceFile.Close()
	p.lockFile.Close()
	p.presenceFile = nil
}

// detached reports whether an instance is out of service in a process. It may be called while another
// goroutine applies changes.
func (p *process) detached(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Detached(id)
}

// lastChangeMs is the time of the latest change, in milliseconds.
var lastChangeMs int64

// commitChange commits a change at the next millisecond, with a timeout of 100 ms.
func (p *process) commitChange(op adminstate.Operation, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	lastChangeMs++
	return p.Commit(ctx, adminstate.Change{Operation: op, InstanceID: id, RequestedAtMs: lastChangeMs}, p)
}
