// Command knownred reads the list of tests that are known to fail, KNOWN-RED.txt, checks it against the source and
// prints the pattern for go test's -skip that passes over exactly these tests.
//
// An entry is a block of lines "key: value"; blank lines separate entries, and lines that begin with # are comments:
//
//	test: internal/engine TestName/sub_test
//	command: go test -race ./internal/engine -run TestName
//	seen: what was observed, with the seed where there is one
//	issue: 51
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func run() error {
	if len(os.Args) != 2 {
		return errors.New("usage: knownred KNOWN-RED.txt, from the root of the repository")
	}
	text, err := os.ReadFile(os.Args[1])
	if err != nil {
		return err
	}
	entries, err := parse(string(text))
	if err != nil {
		return err
	}
	tests, err := declaredTests(".")
	if err != nil {
		return err
	}
	pattern, err := skipPattern(entries, tests)
	if err != nil {
		return err
	}
	for _, e := range entries {
		fmt.Fprintf(os.Stderr, "known to fail, passed over: %s %s (issue %s): %s\n", e.folder, e.test, e.fields["issue"], e.fields["seen"])
	}
	fmt.Println(pattern)
	return nil
}
