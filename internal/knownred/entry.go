package main

import (
	"fmt"
	"path/filepath"
	"strings"
)

// entry is one test that is known to fail.
type entry struct {
	folder string // of its package, relative to the root
	test   string // name of the function, with /subtest where only that fails
	seen   string
	issue  string
}

// requiredKeys are the keys that each entry has.
var requiredKeys = []string{"test", "command", "seen", "issue"}

// parseEntries reads the entries; the error names the first one that is wrong.
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

// parseFields reads the lines of a block by key; none if it has only comments.
func parseFields(block string) (map[string]string, error) {
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
	return fields, nil
}

// newEntry makes an entry of its fields; the error says which key is missing or wrong.
func newEntry(fields map[string]string) (entry, error) {
	for _, key := range requiredKeys {
		if fields[key] == "" {
			return entry{}, fmt.Errorf("entry %q has no %s", fields["test"], key)
		}
	}
	folder, test, ok := strings.Cut(fields["test"], " ")
	if !ok || strings.ContainsAny(test, " \t") {
		return entry{}, fmt.Errorf("test %q is not of the form FOLDER TestName/subtest, as go test prints it",
			fields["test"])
	}
	return entry{folder: filepath.Clean(folder), test: test, seen: fields["seen"], issue: fields["issue"]}, nil
}
