package sockets

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// readExperiment reads an experiment from deploy/lab.
func readExperiment(t *testing.T, name string) *lab.Experiment {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "lab", name))
	if err != nil {
		t.Fatal(err)
	}
	e, err := lab.Parse(name, text)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// A short day on sockets with modelled servers, one of which goes down and one drains, violates no rule, and each request
// has a final answer. RunInProcess rejects an experiment with two nodes.
func TestRunInProcess(t *testing.T) {
	e := readExperiment(t, "half-gone.toml")
	e.Day.Length, e.Day.Servers = 2*time.Second, 4
	for i := range e.Day.Classes {
		e.Day.Classes[i].Rate /= 4
	}
	e.Day.Faults = []fleetsim.Fault{
		{From: 500 * time.Millisecond, To: 1200 * time.Millisecond, Down: true},
		{From: 600 * time.Millisecond, To: 1500 * time.Millisecond, First: 1, Last: 1, Drain: true},
	}
	o, void, err := RunInProcess(t.Context(), e, testutil.Log(t))
	if err != nil {
		t.Fatal(err)
	}
	requests, answers, _ := o.Counts()
	if violations := o.Violations(); len(violations) > 0 || requests == 0 || requests != answers || o.Seeds[0].Attempts == 0 {
		t.Errorf("got %d requests, %d answers, %d attempts and violations %v (void %v), want an answer to each request, "+
			"attempts and no violations", requests, answers, o.Seeds[0].Attempts, violations, void)
	}
	e.Day.Nodes = 2
	if _, _, err := RunInProcess(t.Context(), e, testutil.DiscardLogger); err == nil {
		t.Error("RunInProcess with two nodes: got no error")
	}
}
