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
	fields map[string]string
}

// required are the keys that each entry has.
var required = []string{"test", "command", "seen", "issue"}

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
