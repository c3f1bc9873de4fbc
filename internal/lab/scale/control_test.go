package scale

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// A process replies to commands, rejects those that it can't carry out, and ends with its input, also while a command
// waits.
func TestCommandServer(t *testing.T) {
	s := NewStates()
	s.Register("a", 0, 0)
	c := &CommandServer{Meter: NewMeter(nil, 1), States: s}
	in, commands := io.Pipe()
	answers, out := io.Pipe()
	ended, disconnected := make(chan error, 1), make(chan struct{})
	go func() { ended <- c.Serve(t.Context(), in, out, func() { close(disconnected) }) }()
	e, d := json.NewEncoder(commands), json.NewDecoder(answers)
	read := func() (r Reply) {
		t.Helper()
		if err := d.Decode(&r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	read() // the sign that it is ready
	for _, rejected := range []struct {
		command Command
		want    string
	}{{Command{Op: OpStop}, "stop: is of hollow nodes alone"}, {Command{Op: "dance"}, "dance: "}} {
		e.Encode(rejected.command)
		if r := read(); !strings.Contains(r.Error, rejected.want) {
			t.Errorf("%+v", r)
		}
	}
	e.Encode(Command{Op: OpReport})
	if r := read(); r.Error != "" || r.Report.Nodes != 1 || r.Report.CPU <= 0 {
		t.Errorf("%+v", r)
	}
	e.Encode(Command{Op: OpAwait, Version: 9, Timeout: time.Hour})
	commands.Close()
	testutil.Wait(t, disconnected, "the call at the end of the input")
	read() // the states at the end
	if err := testutil.Wait(t, ended, "the end"); err != nil {
		t.Error(err)
	}
}
