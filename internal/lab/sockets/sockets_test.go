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

// readExperiment reads an experiment of the library.
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

// A day on sockets, in short: the program, stand-ins by the model and the load generator, with a server that
// dies; the rules hold and each request has one final answer.
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
	asked, answered, _ := o.Counts()
	if broken := o.Violations(); len(broken) > 0 || asked == 0 || asked != answered || o.Seeds[0].Attempts == 0 {
		t.Errorf("%d asked, %d answered, %v (void %v)", asked, answered, broken, void)
	}
	e.Day.Nodes = 2
	if _, _, err := RunInProcess(t.Context(), e, testutil.DiscardLogger); err == nil {
		t.Error("two nodes on sockets")
	}
}
