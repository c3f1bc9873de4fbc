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
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// entry is one test that is known to fail.
type entry struct {
	folder string // of its package, relative to the root
	test   string // name of the function, with /subtest where only that fails
	fields map[string]string
}

// required are the keys that each entry has.
var required = []string{"test", "command", "seen", "issue"}

var testDeclaration = regexp.MustCompile(`(?m)^func (Test\w+)\(`)

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

// parse reads the entries; the error names the first one that lacks a key.
func parse(text string) ([]entry, error) {
	var entries []entry
	for _, block := range strings.Split(strings.TrimSpace(text), "\n\n") {
		fields := map[string]string{}
		for _, line := range strings.Split(block, "\n") {
			if strings.HasPrefix(line, "#") || strings.TrimSpace(line) == "" {
				continue
			}
			key, value, ok := strings.Cut(line, ": ")
			if !ok {
				return nil, fmt.Errorf("line %q is not of the form key: value", line)
			}
			fields[key] = strings.TrimSpace(value)
		}
		if len(fields) == 0 {
			continue
		}
		for _, key := range required {
			if fields[key] == "" {
				return nil, fmt.Errorf("entry %q has no %s", fields["test"], key)
			}
		}
		folder, test, ok := strings.Cut(fields["test"], " ")
		if !ok || strings.ContainsAny(test, " \t") {
			return nil, fmt.Errorf("test %q is not of the form FOLDER TestName/subtest, as go test prints it", fields["test"])
		}
		entries = append(entries, entry{folder: filepath.Clean(folder), test: test, fields: fields})
	}
	return entries, nil
}

// declaredTests gives the folders of the packages that declare each test function.
func declaredTests(root string) (map[string][]string, error) {
	tests := map[string][]string{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		for _, match := range testDeclaration.FindAllStringSubmatch(string(text), -1) {
			tests[match[1]] = append(tests[match[1]], folder)
		}
		return nil
	})
	return tests, err
}

// skipPattern gives the pattern for -skip. go test applies one pattern to all packages, so a name that another
// package declares too is an error, as is one that its package does not declare.
func skipPattern(entries []entry, tests map[string][]string) (string, error) {
	var patterns []string
	for _, e := range entries {
		name, _, _ := strings.Cut(e.test, "/")
		folders := tests[name]
		switch {
		case len(folders) == 0:
			return "", fmt.Errorf("no test is called %s", name)
		case len(folders) > 1:
			return "", fmt.Errorf("%s is declared in %s: give it a name of its own", name, strings.Join(folders, ", "))
		case folders[0] != e.folder:
			return "", fmt.Errorf("%s is declared in %s, not in %s", name, folders[0], e.folder)
		}
		var elements []string
		for _, element := range strings.Split(e.test, "/") {
			elements = append(elements, "^"+regexp.QuoteMeta(element)+"$")
		}
		patterns = append(patterns, strings.Join(elements, "/"))
	}
	return strings.Join(patterns, "|"), nil
}
