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

// event is a line of go test -json (cmd/test2json).
type event struct {
	Action, Package, Test, Output string
	Elapsed                       float64 // seconds
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
