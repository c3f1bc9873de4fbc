package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokestall/internal/lab/scale"
	"yokestall/internal/testutil"
)

// A fleet of hollow nodes stays within bounds on what it says, whatever the machine's speed: what a node says while
// nothing changes does not grow with the fleet, a change of a list costs the change, a node that kept its store
// fetches no list again, and a region without a majority of the voters has no lease until it hears of the others
// again.
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
	f, err := scale.Play(t.Context(), plan, scale.Options{Dir: dir, Command: command, Env: env, Tell: t.Logf})
	if err != nil {
		showLogs(t, dir)
		t.Fatal(err)
	}
	if len(f.Untold) > 0 {
		t.Errorf("not told: %+v", f.Untold)
	}
	// Twice what the lease's renewals alone make: a machine that is slow asks again after a lease that it lost.
	asks := 2 * float64(plan.Voters) / plan.Terms.RenewInterval().Seconds()
	const (
		askBytes = 250.0    // of an ask with its answer, headers of RPC included
		list     = 60 << 10 // bytes of the list that the plan has, at least
	)
	for _, bound := range []struct {
		key         string
		least, most float64
	}{
		{"idle.node.sent", 1, asks},
		{"idle.node.received", 1, asks},
		{"idle.node.in", 1, asks * askBytes},
		{"idle.node.out", 1, asks * askBytes},
		{"idle.serve.sent", 1, asks},
		{"idle.serve.out", 1, asks * askBytes},
		{"list.node.in", 1, list / 2}, // of two changes
		{"list.serve.in", 1, list / 2},
		{"return_kept.node.in", 1, list / 2},
		{"return_empty.node.in", list, 1 << 30},
		{"apart.region1.leased", 0, 0},
		{"restart.node.restarted", 1, 2},
	} {
		s := f.Series[bound.key]
		if s == nil || len(s.Points) != len(plan.Sizes) {
			t.Errorf("%s: %+v", bound.key, s)
			continue
		}
		for _, p := range s.Points {
			if p.Value < bound.least || p.Value > bound.most {
				t.Errorf("%s at %v nodes is %v %s, not from %v to %v", bound.key, p.At, p.Value, s.Unit, bound.least, bound.most)
			}
		}
	}
	for _, p := range f.Series["apart.region1.alone"].Points {
		if p.Value < p.At/2 {
			t.Errorf("%v nodes of %v are cut off and act alone", p.Value, p.At)
		}
	}
}

// Nothing of a run outlives the process that was killed, whatever the run was doing.
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
	told := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(progress)
		lines.Scan()
		told <- lines.Text()
	}()
	if line := testutil.Wait(t, told, "the first version"); !strings.Contains(line, "first version") {
		t.Fatalf("%q", line)
	}
	children := childrenOf(t, c.Process.Pid)
	if len(children) < 4 {
		t.Fatalf("%d processes, and the plan has more", len(children))
	}
	c.Process.Signal(syscall.SIGKILL)
	c.Wait()
	for _, child := range children {
		testutil.Until(t, fmt.Sprint("the end of process ", child.pid), func() bool { return !child.runs() })
	}
}

// process is one of the system's; begun tells it from a later one of its number.
type process struct {
	pid   int
	begun string
}

// childrenOf gives the processes that another one has started.
func childrenOf(t *testing.T, parent int) (list []process) {
	t.Helper()
	paths, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if fields := statOf(pid); fields != nil && fields[1] == strconv.Itoa(parent) {
			list = append(list, process{pid, fields[startField]})
		}
	}
	return list
}

// startField is where statOf has the time when a process was started.
const startField = 19

// statOf gives what /proc says of a process behind its name: state, parent and so on; nil: there is none.
func statOf(pid int) []string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return nil
	}
	_, behind, _ := strings.Cut(string(text), ") ")
	if fields := strings.Fields(behind); len(fields) > startField {
		return fields
	}
	return nil
}

// runs tells whether it has not ended; one that has, and that nobody has waited for yet, runs no more.
func (p process) runs() bool {
	fields := statOf(p.pid)
	return fields != nil && fields[startField] == p.begun && fields[0] != "Z"
}

// The command refuses a file that is no plan by its line, and ends.
func TestScaleRefusesBadFiles(t *testing.T) {
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
		t.Errorf("%v: %s", err, text)
	}
}
