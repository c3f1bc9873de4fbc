// Command steady runs the project's tests many times on a machine that is kept busy, and
// tells which of them ever fail:
//
//	scripts/steady [-run REGEXP] [-neighbours N] [TIMES] [PACKAGE...]
//
// Each turn is under the race detector and shuffled by a printed seed, with GOMAXPROCS 1,
// 2 and 4 by turns, beside one busy neighbour a core. The exit code is 1 if a test failed.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"time"
)

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
