// Command flakecheck runs the project's tests in several rounds on a machine that it keeps busy, and reports the results of each
// test, to find tests that fail only sometimes:
//
//	scripts/steady [-run REGEXP] [-neighbours N] [-seed N] [ROUNDS [PACKAGE...]]
//
// Each round runs the tests under the race detector, in an order that is shuffled with a printed seed, and with GOMAXPROCS 1, 2
// or 4 in turn. At the same time, N goroutines use CPU time, by default one for each core. Exit codes: 0 if no test failed, 1 if
// a test failed, 2 if the arguments are wrong or the tests could not be run.
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

// Exit codes other than 0.
const (
	exitTestFailed = 1
	exitNotRun     = 2
)

// defaultRounds is the number of rounds if the arguments don't have one.
const defaultRounds = 10

// maxDefaultSeed is the exclusive upper bound of the first round's seed if the flags don't have one.
const maxDefaultSeed = 1e6

// procsByRound has the values of GOMAXPROCS that the rounds use in turn.
var procsByRound = []int{1, 2, 4}

func main() {
	run := flag.String("run", "", "only tests that match this `regexp`")
	loadGoroutines := flag.Int("neighbours", runtime.NumCPU(), "number of goroutines that keep the machine busy during the tests")
	firstSeed := flag.Int64("seed", time.Now().UnixNano()%maxDefaultSeed,
		"seed of the test order in the first round; each following round adds 1")
	flag.Parse()
	rounds, packages, err := parseArguments(flag.Args())
	if err != nil {
		exitWith(err)
	}
	stopLoad := startLoad(*loadGoroutines)
	defer stopLoad()
	results := resultTable{}
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
		fmt.Printf("round %d of %d: GOMAXPROCS=%d -shuffle=%d, %.0f s, %d failures so far\n",
			i+1, rounds, r.procs, r.seed, time.Since(start).Seconds(), results.failed())
	}
	fmt.Println()
	results.print(os.Stdout)
	if results.failed() > 0 {
		os.Exit(exitTestFailed)
	}
}

// parseArguments returns the number of rounds and the packages. Missing arguments have the defaults defaultRounds and ./... .
func parseArguments(args []string) (rounds int, packages []string, err error) {
	rounds, packages = defaultRounds, []string{"./..."}
	if len(args) > 0 {
		if rounds, err = strconv.Atoi(args[0]); err != nil || rounds < 1 {
			return 0, nil, fmt.Errorf("number of rounds: %q is not a positive integer", args[0])
		}
	}
	if len(args) > 1 {
		packages = args[1:]
	}
	return rounds, packages, nil
}

// exitWith prints err, the reason why the tests were not run, and exits with exitNotRun.
func exitWith(err error) {
	fmt.Fprintln(os.Stderr, "steady:", err)
	os.Exit(exitNotRun)
}
