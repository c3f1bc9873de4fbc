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
	maxEventSize  = 16 << 20 // bytes of a line of go test -json
	maxTestOutput = 400      // lines of a test that are printed if it fails
)

// event is a line of go test -json (cmd/test2json).
type event struct {
	Action  string
	Package string
	Test    string // "" for the package itself
	Output  string
	Elapsed float64 // seconds
}

// key identifies the test of an event.
func (e *event) key() string { return e.Package + " " + e.Test }

// round is one run of the tests.
type round struct {
	procs    int   // GOMAXPROCS
	seed     int64 // of the order of the tests
	run      string
	packages []string
}

// command is the go command that runs the tests.
func (r *round) command() *exec.Cmd {
	args := []string{"test", "-json", "-race", "-count=1", "-timeout=20m"}
	args = append(args, "-shuffle="+strconv.FormatInt(r.seed, 10), "-run="+r.run)
	c := exec.Command("go", append(args, r.packages...)...)
	c.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(r.procs))
	c.Stderr = os.Stderr
	return c
}

// test runs the tests, adds their results to a table and prints the output of those that fail. The error says that
// they could not be run; a test that failed is none.
func (r *round) test(results table, out io.Writer) error {
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
			return fmt.Errorf("go test: %w, and no test that failed", err)
		}
		return nil // the table has it
	}
	return err
}

// readEvents reads the events of a round to their end.
func (r *round) readEvents(from io.Reader, results table, out io.Writer) {
	outputs := map[string][]string{}
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxEventSize)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue // not an event, such as the output of a build
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
