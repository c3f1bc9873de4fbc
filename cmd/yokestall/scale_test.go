package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokestall/internal/lab/scale"
	"yokestall/internal/testutil"
)

// The control traffic of a fleet of hollow nodes stays within bounds that don't depend on the machine's speed. A node's
// traffic while nothing changes does not grow with the fleet, a change of an endpoint list costs only the size of the
// change, and a node that restarts with its store does not fetch the list again. A region without a majority of the
// voters has no lease until it reaches the other regions.
func TestControlOfHollowNodes(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	const path = "testdata/scale.toml"
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	plan, err := scale.Parse(path, text)
	if err != nil {
		t.Fatal(err)
	}
	command, env := testutil.SelfCommand()
	dir := t.TempDir()
	f, err := scale.Play(t.Context(), plan, scale.Options{Dir: dir, Command: command, Env: env, Progress: t.Logf})
	if err != nil {
		showLogs(t, dir)
		t.Fatal(err)
	}
	if len(f.Late) > 0 {
		t.Errorf("got late nodes, want none: %+v", f.Late)
	}
	checkControlBounds(t, plan, f)
	for _, p := range f.Series["apart.region1.alone"].Points {
		if p.Value < p.At/2 {
			t.Errorf("region 1 cut off: %v nodes of %v act alone; want at least half", p.Value, p.At)
		}
	}
}

// checkControlBounds checks that each measured series has a point for each size of the plan, within the series' bounds.
func checkControlBounds(t *testing.T, plan *scale.Plan, f *scale.Figures) {
	t.Helper()
	// Most polls a second of a node: twice the lease's renewals, since a node on a slow machine polls again after it has
	// lost a lease.
	polls := 2 * float64(plan.Voters) / plan.Lease.RenewInterval().Seconds()
	const (
		pollBytes = 250.0    // most bytes of a poll or its answer, with the RPC headers
		listBytes = 60 << 10 // least bytes of the plan's endpoint list
	)
	for _, bound := range []struct {
		key         string
		least, most float64
	}{
		{"idle.node.sent", 1, polls},
		{"idle.node.received", 1, polls},
		{"idle.node.in", 1, polls * pollBytes},
		{"idle.node.out", 1, polls * pollBytes},
		{"idle.serve.sent", 1, polls},
		{"idle.serve.out", 1, polls * pollBytes},
		{"list.node.in", 1, listBytes / 2}, // for two changes of the list
		{"list.serve.in", 1, listBytes / 2},
		{"return_kept.node.in", 1, listBytes / 2},
		{"return_empty.node.in", listBytes, 1 << 30},
		{"apart.region1.leased", 0, 0},
		{"restart.node.restarted", 1, 2},
	} {
		s := f.Series[bound.key]
		if s == nil || len(s.Points) != len(plan.Sizes) {
			t.Errorf("series %s: got %+v, want a point for each size", bound.key, s)
			continue
		}
		for _, p := range s.Points {
			if p.Value < bound.least || p.Value > bound.most {
				t.Errorf("%s at %v nodes is %v %s, not from %v to %v",
					bound.key, p.At, p.Value, s.Unit, bound.least, bound.most)
			}
		}
	}
}

// When the process that started a run is killed, all processes of the run end.
func TestKilledRunLeavesNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	command, env := testutil.SelfCommand()
	c := exec.Command(command[0], "lab", "scale", "testdata/scale.toml")
	c.Env = append(append(os.Environ(), env...), "TMPDIR="+t.TempDir())
	progress, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Process.Kill()
	firstLine := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(progress)
		lines.Scan()
		firstLine <- lines.Text()
	}()
	if line := testutil.Wait(t, firstLine, "the first line of progress"); !strings.Contains(line, "first version") {
		t.Fatalf("first line of progress: got %q, want one with \"first version\"", line)
	}
	children := childrenOf(t, c.Process.Pid)
	if len(children) < 4 {
		t.Fatalf("the run started %d processes, want at least 4", len(children))
	}
	c.Process.Signal(syscall.SIGKILL)
	c.Wait()
	for _, child := range children {
		testutil.Until(t, fmt.Sprint("the end of process ", child.pid), func() bool { return !child.runs() })
	}
}

// `lab scale` rejects a file that is not a plan, names the line of the invalid setting, and exits.
func TestScaleRejectsBadFiles(t *testing.T) {
	command, env := testutil.SelfCommand()
	path := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(path, []byte("name = \"bad\"\nsizes = [3]\nnodes = 7\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.CommandContext(t.Context(), command[0], "lab", "scale", path)
	c.Env = append(os.Environ(), env...)
	c.WaitDelay = time.Second
	text, err := c.CombinedOutput()
	if err == nil || !strings.Contains(string(text), path+":3: nodes: is no known key") {
		t.Errorf("lab scale with an invalid plan: error %v, output %s; want line 3 as the invalid one", err, text)
	}
}
