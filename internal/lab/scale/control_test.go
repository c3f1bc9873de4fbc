package scale

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// CommandServer replies to commands, rejects commands that it can't carry out, and returns when its input ends, even
// while a command waits.
func TestCommandServer(t *testing.T) {
	s := NewStates()
	s.Register("a", 0, 0)
	c := &CommandServer{Meter: NewMeter(nil, 1), States: s}
	in, commands := io.Pipe()
	replies, out := io.Pipe()
	ended, disconnected := make(chan error, 1), make(chan struct{})
	go func() { ended <- c.Serve(t.Context(), in, out, func() { close(disconnected) }) }()
	e, d := json.NewEncoder(commands), json.NewDecoder(replies)
	read := func() (r Reply) {
		t.Helper()
		if err := d.Decode(&r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	read() // the empty reply that signals readiness
	for _, rejected := range []struct {
		command Command
		want    string
	}{{Command{Op: OpStop}, "stop: operation is supported only by processes with hollow nodes"}, {Command{Op: "dance"}, "dance: "}} {
		e.Encode(rejected.command)
		if r := read(); !strings.Contains(r.Error, rejected.want) {
			t.Errorf("got reply %+v, want an error with %q", r, rejected.want)
		}
	}
	e.Encode(Command{Op: OpReport})
	if r := read(); r.Error != "" || r.Report.Nodes != 1 || r.Report.CPU <= 0 {
		t.Errorf("got reply %+v, want a report with 1 node and its CPU time", r)
	}
	e.Encode(Command{Op: OpAwait, Version: 9, Timeout: time.Hour})
	commands.Close()
	testutil.Wait(t, disconnected, "the call of disconnected at the end of the input")
	read() // the reply to OpAwait, sent when the input ends
	if err := testutil.Wait(t, ended, "the return of Serve"); err != nil {
		t.Errorf("Serve returned %v, want nil", err)
	}
}
