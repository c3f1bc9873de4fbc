// Command steady runs the project's tests many times on a machine that is kept busy, and
// tells which of them ever fail:
//
//	scripts/steady [-run REGEXP] [-neighbours N] [TIMES] [PACKAGE...]
//
// Each turn is under the race detector and shuffled by a printed seed, with GOMAXPROCS 1,
// 2 and 4 by turns, beside one busy neighbour a core. The exit code is 1 if a test failed.
package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"
)

// event is a line of go test -json (cmd/test2json).
type event struct {
	Action, Package, Test, Output string
	Elapsed                       float64 // seconds
}

// tally is what became of one test, or of a package where the name is "".
type tally struct {
	pkg, name               string
	passed, failed, skipped int
	slowest                 float64 // seconds
}

// table collects the ends of tests by package and name. Subtests count for their test.
type table map[string]*tally

func (t table) add(e event) {
	if e.Action != "pass" && e.Action != "fail" && e.Action != "skip" || strings.Contains(e.Test, "/") {
		return
	}
	key := e.Package + " " + e.Test
	x := t[key]
	if x == nil {
		x = &tally{pkg: e.Package, name: e.Test}
		t[key] = x
	}
	switch e.Action {
	case "pass":
		x.passed++
	case "fail":
		x.failed++
	case "skip":
		x.skipped++
	}
	x.slowest = max(x.slowest, e.Elapsed)
}

func (t table) failed() (n int) {
	for _, x := range t {
		n += x.failed
	}
	return n
}

// print lists the tests, those that failed first, then the slowest.
func (t table) print(out io.Writer) {
	var rows []*tally
	for _, x := range t {
		if x.name != "" || x.failed > 0 {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b *tally) int {
		return cmp.Or(cmp.Compare(b.failed, a.failed), cmp.Compare(b.slowest, a.slowest), cmp.Compare(a.pkg+a.name, b.pkg+b.name))
	})
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "package\ttest\tpassed\tfailed\tskipped\tslowest s")
	for _, x := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.1f\n", x.pkg, cmp.Or(x.name, "(the package)"), x.passed, x.failed, x.skipped, x.slowest)
	}
	w.Flush()
}

// turn runs the tests once and keeps the output of those that fail.
func turn(t table, procs int, seed int64, run string, packages []string, out io.Writer) error {
	args := append([]string{"test", "-json", "-race", "-count=1", "-timeout=20m", "-shuffle=" + strconv.FormatInt(seed, 10), "-run=" + run}, packages...)
	c := exec.Command("go", args...)
	c.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(procs))
	c.Stderr = os.Stderr
	pipe, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	said := map[string][]string{}
	lines := bufio.NewScanner(pipe)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue // what is no event, such as a build's own words
		}
		t.add(e)
		key := e.Package + " " + e.Test
		switch e.Action {
		case "output":
			if len(said[key]) < 400 {
				said[key] = append(said[key], e.Output)
			}
		case "fail":
			fmt.Fprintf(out, "\nFAILED %s (GOMAXPROCS=%d, -shuffle=%d)\n%s", key, procs, seed, strings.Join(said[key], ""))
			delete(said, key)
		case "pass", "skip":
			delete(said, key)
		}
	}
	err = c.Wait()
	if _, failed := err.(*exec.ExitError); failed {
		if t.failed() == 0 {
			return fmt.Errorf("go test: %w, and no test that failed", err)
		}
		return nil // the table has it
	}
	return err
}

// busy keeps so many cores at work until stop is called.
func busy(n int) (stop func()) {
	var over atomic.Bool
	for range n {
		go func() {
			for x := 1.0; !over.Load(); x *= 1.0001 {
				if x > 1e9 {
					x = 1
				}
			}
		}()
	}
	return func() { over.Store(true) }
}

func main() {
	run := flag.String("run", "", "only tests that match this `regexp`")
	neighbours := flag.Int("neighbours", runtime.NumCPU(), "busy neighbours")
	first := flag.Int64("seed", time.Now().UnixNano()%1e6, "seed of the first turn's order; each turn adds 1")
	flag.Parse()
	times, packages := 10, []string{"./..."}
	if flag.NArg() > 0 {
		n, err := strconv.Atoi(flag.Arg(0))
		if err != nil || n < 1 {
			fmt.Fprintf(os.Stderr, "steady: %q is no number of turns\n", flag.Arg(0))
			os.Exit(2)
		}
		times = n
	}
	if flag.NArg() > 1 {
		packages = flag.Args()[1:]
	}
	defer busy(*neighbours)()
	t := table{}
	for i := range times {
		procs, seed, began := []int{1, 2, 4}[i%3], *first+int64(i), time.Now()
		if err := turn(t, procs, seed, *run, packages, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "steady:", err)
			os.Exit(2)
		}
		fmt.Printf("turn %d of %d: GOMAXPROCS=%d -shuffle=%d, %.0f s, %d failures so far\n", i+1, times, procs, seed, time.Since(began).Seconds(), t.failed())
	}
	fmt.Println()
	t.print(os.Stdout)
	if t.failed() > 0 {
		os.Exit(1)
	}
}
