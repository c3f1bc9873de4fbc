package main

import (
	"fmt"
	"path/filepath"
	"strings"
)

// entry is one test that is known to fail.
type entry struct {
	folder string // folder of the test's package, relative to the repository's root
	test   string // name of the test function, followed by /subtest if only a subtest fails
	seen   string // description of the failure
	issue  string // number of the issue
}

// requiredKeys has the keys that each entry must have.
var requiredKeys = []string{"test", "command", "seen", "issue"}

// parseEntries parses the text of the list. The error is about the first entry that is wrong.
func parseEntries(text string) ([]entry, error) {
	var entries []entry
	for _, block := range strings.Split(strings.TrimSpace(text), "\n\n") {
		fields, err := parseFields(block)
		if err != nil {
			return nil, err
		}
		if len(fields) == 0 {
			continue
		}
		e, err := newEntry(fields)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// parseFields parses the lines of a block into values by key. The result is empty if the block has only comments.
func parseFields(block string) (map[string]string, error) {
	fields := map[string]string{}
	for _, line := range strings.Split(block, "\n") {
		if strings.HasPrefix(line, "#") || strings.TrimSpace(line) == "" {
			continue
		}
		key, value, ok := strings.Cut(line, ": ")
		if !ok {
			return nil, fmt.Errorf("line %q does not have the form key: value", line)
		}
		fields[key] = strings.TrimSpace(value)
	}
	return fields, nil
}

// newEntry returns the entry with these fields. The error says which key is missing or wrong.
func newEntry(fields map[string]string) (entry, error) {
	for _, key := range requiredKeys {
		if fields[key] == "" {
			return entry{}, fmt.Errorf("entry %q has no %s", fields["test"], key)
		}
	}
	folder, test, ok := strings.Cut(fields["test"], " ")
	if !ok || strings.ContainsAny(test, " \t") {
		return entry{}, fmt.Errorf("test %q does not have the form FOLDER TestName/subtest, with the name as go test prints it",
			fields["test"])
	}
	return entry{folder: filepath.Clean(folder), test: test, seen: fields["seen"], issue: fields["issue"]}, nil
}
