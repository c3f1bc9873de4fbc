package hotrestart

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"yokestall/internal/adminstate"
	"yokestall/internal/testutil"
)

// Commit returns nil once the change is in force in each live process. It does not wait for a dead process.
func TestYesWaitsForTheOther(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	if err := b.commitChange(adminstate.Detach, "s1"); !errors.Is(err, ErrPeerUnresponsive) {
		t.Errorf("while the other process does not apply the record: got error %v, want ErrPeerUnresponsive", err)
	}
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		for !a.detached("s2") {
			a.ApplyPending(a)
		}
	}()
	if err := b.commitChange(adminstate.Detach, "s2"); err != nil || !a.detached("s2") {
		t.Errorf("got error %v, s2 detached in the other process: %v; want no error and true", err, a.detached("s2"))
	}
	testutil.Wait(t, applied, "the other process to apply the change")
	if err := b.commitChange(adminstate.Attach, "nobody"); !errors.Is(err, adminstate.ErrUnknownInstance) {
		t.Errorf("an unknown id: got error %v, want ErrUnknownInstance", err)
	}
	a.kill()
	if err := b.commitChange(adminstate.LameDuck, ""); err != nil {
		t.Errorf("when the other process is dead: got error %v, want none", err)
	}
}

// Processes commit changes, are killed and replaced, and one copy of the record is damaged, in a random
// order: committed changes stay in force in every live process.
func TestCommittedChangesSurvive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "")
		if err != nil {
			rt.Fatal(err)
		}
		live := []*process{join(t, dir)}
		defer func() {
			for _, p := range live {
				p.Close()
			}
		}()
		detached := map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			p := rapid.SampledFrom(live).Draw(rt, "process")
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				if len(live) < 3 {
					live = append(live, join(t, dir))
				}
			case 1:
				p.kill()
				live = slices.DeleteFunc(live, func(o *process) bool { return o == p })
				if len(live) == 0 {
					live = append(live, join(t, dir))
				}
			case 2: // one copy of the record is truncated, or has a bit flipped
				path := filepath.Join(dir, folderName, rapid.SampledFrom(recordNames[:]).Draw(rt, "copy"))
				text, err := os.ReadFile(path)
				if err != nil || len(text) == 0 {
					continue
				}
				at := rapid.IntRange(0, len(text)-1).Draw(rt, "byte")
				if rapid.Bool().Draw(rt, "cut") {
					text = text[:at]
				} else {
					text[at] ^= 1 << rapid.IntRange(0, 7).Draw(rt, "bit")
				}
				os.WriteFile(path, text, 0o600)
				// A commit repairs the damaged copy, so that a later step may damage the other one.
				lastChangeMs++
				p.commitHere(context.Background(), adminstate.Change{Operation: adminstate.LameDuck, RequestedAtMs: lastChangeMs}, p)
				p.commitHere(context.Background(), adminstate.Change{Operation: adminstate.Rejoin, RequestedAtMs: lastChangeMs}, p)
			default:
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id")
				op := rapid.SampledFrom([]adminstate.Operation{adminstate.Detach, adminstate.Attach}).Draw(rt, "op")
				lastChangeMs++
				change := adminstate.Change{Operation: op, InstanceID: id, RequestedAtMs: lastChangeMs}
				if _, err := p.commitHere(context.Background(), change, p); err != nil {
					rt.Fatalf("commitHere of %v %s: got error %v, want none", op, id, err)
				}
				detached[id] = op == adminstate.Detach
			}
			for _, p := range live {
				p.ApplyPending(p)
				for id, want := range detached {
					if p.state.Detached(id) != want {
						rt.Fatalf("process %d: got %s detached: %v, want %v", p.Self().Number, id, !want, want)
					}
				}
			}
		}
	})
}
