// Command flakecheck runs the project's tests many times on a machine that is kept busy, and
// reports which of them ever fail:
//
//	scripts/steady [-run REGEXP] [-neighbours N] [-seed N] [TIMES] [PACKAGE...]
//
// Each round is under the race detector and shuffled by a printed seed, with GOMAXPROCS 1,
// 2 and 4 in turn, beside one busy goroutine a core. Exit codes: 1 if a test failed, 2 if the
// arguments are wrong or the tests could not be run.
//
// run.go runs a round of tests, table.go counts their results, load.go keeps the machine busy.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"time"
)

// Exit codes beside 0.
const (
	exitTestFailed = 1
	exitNotRun     = 2
)

// defaultRounds is how often the tests run if the arguments do not say it.
const defaultRounds = 10

// maxDefaultSeed bounds the seed of the first round's order if the flags have none.
const maxDefaultSeed = 1e6

// procsByRound are the values of GOMAXPROCS that the rounds use in turn.
var procsByRound = []int{1, 2, 4}

func main() {
	run := flag.String("run", "", "only tests that match this `regexp`")
	neighbours := flag.Int("neighbours", runtime.NumCPU(), "busy neighbours")
	firstSeed := flag.Int64("seed", time.Now().UnixNano()%maxDefaultSeed,
		"seed of the first turn's order; each turn adds 1")
	flag.Parse()
	rounds, packages, err := parseArguments(flag.Args())
	if err != nil {
		exitWith(err)
	}
	stopLoad := startLoad(*neighbours)
	defer stopLoad()
	results := table{}
	for i := range rounds {
		start := time.Now()
		r := round{
			procs:    procsByRound[i%len(procsByRound)],
			seed:     *firstSeed + int64(i),
			run:      *run,
			packages: packages,
		}
		if err := r.test(results, os.Stdout); err != nil {
			exitWith(err)
		}
		fmt.Printf("turn %d of %d: GOMAXPROCS=%d -shuffle=%d, %.0f s, %d failures so far\n",
			i+1, rounds, r.procs, r.seed, time.Since(start).Seconds(), results.failed())
	}
	fmt.Println()
	results.print(os.Stdout)
	if results.failed() > 0 {
		os.Exit(exitTestFailed)
	}
}

// parseArguments returns the number of rounds and the packages, or the defaults of those that are missing.
func parseArguments(args []string) (rounds int, packages []string, err error) {
	rounds, packages = defaultRounds, []string{"./..."}
	if len(args) > 0 {
		if rounds, err = strconv.Atoi(args[0]); err != nil || rounds < 1 {
			return 0, nil, fmt.Errorf("%q is no number of turns", args[0])
		}
	}
	if len(args) > 1 {
		packages = args[1:]
	}
	return rounds, packages, nil
}

// exitWith prints why the tests were not run and exits.
func exitWith(err error) {
	fmt.Fprintln(os.Stderr, "steady:", err)
	os.Exit(exitNotRun)
}
