package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
)

const (
	maxEventSize  = 16 << 20 // maximum size in bytes of a line of go test -json
	maxTestOutput = 400      // maximum number of output events that are printed of a failed test
)

// event is a line of go test -json, see cmd/test2json.
type event struct {
	Action  string
	Package string
	Test    string // "" if the event is about the package
	Output  string
	Elapsed float64 // in seconds
}

// key returns the package and the name of the event's test, which identify it.
func (e *event) key() string { return e.Package + " " + e.Test }

// round is one run of the tests.
type round struct {
	procs    int      // value of GOMAXPROCS
	seed     int64    // seed of the order of the tests
	run      string   // value of the flag -run of go test
	packages []string // packages whose tests are run
}

// command returns the go command that runs the tests.
func (r *round) command() *exec.Cmd {
	args := []string{"test", "-json", "-race", "-count=1", "-timeout=20m"}
	args = append(args, "-shuffle="+strconv.FormatInt(r.seed, 10), "-run="+r.run)
	c := exec.Command("go", append(args, r.packages...)...)
	c.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(r.procs))
	c.Stderr = os.Stderr
	return c
}

// test runs the tests, adds their results to results and prints the output of tests that fail. It returns an error if the tests
// could not be run, but not if a test failed.
func (r *round) test(results resultTable, out io.Writer) error {
	c := r.command()
	pipe, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	r.readEvents(pipe, results, out)
	err = c.Wait()
	if _, failed := err.(*exec.ExitError); failed {
		if results.failed() == 0 {
			return fmt.Errorf("go test: %w, but no test has failed", err)
		}
		return nil // The failure is counted in results.
	}
	return err
}

// readEvents reads the events of a round until their end, adds them to results and prints the output of tests that fail.
func (r *round) readEvents(from io.Reader, results resultTable, out io.Writer) {
	outputs := map[string][]string{}
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxEventSize)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue // The line is not an event but, for example, output of the build.
		}
		results.add(e)
		key := e.key()
		switch e.Action {
		case "output":
			if len(outputs[key]) < maxTestOutput {
				outputs[key] = append(outputs[key], e.Output)
			}
		case "fail":
			fmt.Fprintf(out, "\nFAILED %s (GOMAXPROCS=%d, -shuffle=%d)\n%s",
				key, r.procs, r.seed, strings.Join(outputs[key], ""))
			delete(outputs, key)
		case "pass", "skip":
			delete(outputs, key)
		}
	}
}
