package config

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"yokestall/internal/cluster"
)

const (
	maxProblems     = 20   // limit of the problems that are reported of a file
	maxProblemBytes = 1000 // limit of a problem's text
)

// reporter records a problem of a key in a table, as described for Reporter.
type reporter func(table string, index int, key, format string, args ...any)

// Reporter returns two functions for the problems of a file. report records a problem of a key in a table, with the line at
// which the file has the key. problems returns the recorded problems joined, up to maxProblems, or nil if there are none.
//
// index is the table's index, from 0, among the tables with its name; it is negative if the name has only one table. The table
// "" stands for the file's keys before the first table. The key "" stands for the table as such.
func Reporter(name string, text []byte) (
	report func(table string, index int, key, format string, args ...any), problems func() error,
) {
	var found []error
	lines := sync.OnceValue(func() lineFinder { return newLineFinder(text) })
	report = func(table string, index int, key, format string, args ...any) {
		if len(found) == maxProblems {
			return
		}
		p := &cluster.Problem{
			Source: name, Line: lines().find(table, index, key), Text: truncate(fmt.Sprintf(format, args...)),
		}
		if p.Field = table; index >= 0 {
			p.Field += " " + strconv.Itoa(index+1)
		}
		switch {
		case table == "":
			p.Field = key
		case key != "":
			p.Field += ": " + key
		}
		found = append(found, p)
	}
	return report, func() error { return errors.Join(found...) }
}

// lineFinder finds the lines of tables and keys in a TOML file. It looks only at the beginning of each line, so that a
// multi-line string that contains a table header or a key can lead to a wrong line in a problem.
type lineFinder struct{ text []string }

func newLineFinder(text []byte) lineFinder { return lineFinder{strings.Split(string(text), "\n")} }

// find returns the line, counted from 1, of a key in a table. It returns the line of the table's header if the table does not
// have the key, and 0 if there is no such table. index is the table's index, from 0, among the tables with its name; a negative
// index means the first one. The table "" stands for the file's keys before the first table.
func (l lineFinder) find(table string, index int, key string) int {
	found, inside, n := 0, table == "", -1
	for i, line := range l.text {
		if name, ok := tableHeader(line); ok {
			if inside {
				return found
			}
			if name == table {
				n++
				if inside = n == max(0, index); inside {
					found = i + 1
				}
			}
			continue
		}
		if inside && key != "" {
			name, _, ok := strings.Cut(line, "=")
			if ok && strings.TrimSpace(name) == key {
				return i + 1
			}
		}
	}
	return found
}

// tableHeader returns the name of the table whose header is on the line. ok is false if the line has no header.
func tableHeader(line string) (name string, ok bool) {
	if line = strings.TrimSpace(line); !strings.HasPrefix(line, "[") {
		return "", false
	}
	m := tableHeaderRE.FindStringSubmatch(line)
	if m == nil {
		return "", false
	}
	return m[1], true
}

var tableHeaderRE = regexp.MustCompile(`^\s*\[+\s*([A-Za-z0-9_.]+)\s*\]+`)

// truncate limits the text of a problem to maxProblemBytes, after which it appends an ellipsis.
func truncate(text string) string {
	if len(text) <= maxProblemBytes {
		return text
	}
	return text[:maxProblemBytes] + "..."
}

// truncateLines limits a text to maxProblems lines, each of which it truncates.
func truncateLines(text string) string {
	lines := strings.SplitN(text, "\n", maxProblems+1)
	lines = lines[:min(len(lines), maxProblems)]
	for i := range lines {
		lines[i] = truncate(lines[i])
	}
	return strings.Join(lines, "\n")
}
