// Command knownred reads KNOWN-RED.txt, the list of tests that are known to fail. It checks that the tests exist, and prints the
// pattern for the flag -skip of go test that skips exactly these tests. The exit code is 1 if the list is wrong or can't be
// checked.
//
// An entry is a block of lines "key: value"; blank lines separate entries, and lines that begin with # are comments:
//
//	test: internal/engine TestName/sub_test
//	command: go test -race ./internal/engine -run TestName
//	seen: what was observed, with the seed where there is one
//	issue: 51
//
// entry.go parses the entries, declared.go finds the tests in the source, and pattern.go builds the pattern.
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run prints the pattern to standard output and the entries to standard error. The working directory must be the repository's
// root.
func run(args []string) error {
	if len(args) != 1 {
		return errors.New("usage: knownred KNOWN-RED.txt, from the root of the repository")
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	entries, err := parseEntries(string(text))
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
		fmt.Fprintf(os.Stderr, "known to fail, skipped: %s %s (issue %s): %s\n",
			e.folder, e.test, e.issue, e.seen)
	}
	fmt.Println(pattern)
	return nil
}
