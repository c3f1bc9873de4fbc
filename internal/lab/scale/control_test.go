package scale

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// A process answers commands, refuses those that are not its own, and ends with them, also while it waits for
// something.
func TestControlled(t *testing.T) {
	s := NewStates()
	s.Register("a", 0, 0)
	c := &CommandServer{Meter: NewMeter(nil, 1), States: s}
	in, commands := io.Pipe()
	answers, out := io.Pipe()
	ended, gone := make(chan error, 1), make(chan struct{})
	go func() { ended <- c.Serve(t.Context(), in, out, func() { close(gone) }) }()
	e, d := json.NewEncoder(commands), json.NewDecoder(answers)
	read := func() (r Reply) {
		t.Helper()
		if err := d.Decode(&r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	read() // it is ready
	for _, ask := range []struct {
		command Command
		want    string
	}{{Command{Op: OpStop}, "stop: is of hollow nodes alone"}, {Command{Op: "dance"}, "dance: "}} {
		e.Encode(ask.command)
		if r := read(); !strings.Contains(r.Error, ask.want) {
			t.Errorf("%+v", r)
		}
	}
	e.Encode(Command{Op: OpReport})
	if r := read(); r.Error != "" || r.Report.Nodes != 1 || r.Report.CPU <= 0 {
		t.Errorf("%+v", r)
	}
	e.Encode(Command{Op: OpAwait, Version: 9, Timeout: time.Hour})
	commands.Close()
	testutil.Wait(t, gone, "word that who commands is gone")
	read() // what it knew by then
	if err := testutil.Wait(t, ended, "the end"); err != nil {
		t.Error(err)
	}
}
