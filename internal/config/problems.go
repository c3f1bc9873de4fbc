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
	maxProblems     = 20   // reported of a file at a time
	maxProblemBytes = 1000 // bytes of the text of one
)

// reporter records a problem of a table's key; see Reporter.
type reporter func(table string, index int, key, format string, args ...any)

// Reporter returns a function that records a problem of a file's content, by the line of a table's key, and one that
// returns all of them, up to a maximum; nil: there is none. index counts the tables of the same name from 0; below 0:
// there is one. The table "" is that of the file's keys before all tables.
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

// lineFinder finds the lineFinder of tables and keys in a TOML file, for problems. It reads the beginnings of lineFinder only, so that
// a string over several lineFinder can lead to a wrong line.
type lineFinder struct{ text []string }

func newLineFinder(text []byte) lineFinder { return lineFinder{strings.Split(string(text), "\n")} }

// find returns the line, from 1, of a key in the table with an index among those of its name (below 0: the first); the
// line of the table if it does not have the key; 0 if there is no such table. The table "" is that of the file's keys
// before all tables.
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

// tableHeader returns the name of the table that a line begins.
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

// truncate limits the text of a problem.
func truncate(text string) string {
	if len(text) <= maxProblemBytes {
		return text
	}
	return text[:maxProblemBytes] + "..."
}

// truncateLines limits the number of lines and the length of each.
func truncateLines(text string) string {
	lines := strings.SplitN(text, "\n", maxProblems+1)
	lines = lines[:min(len(lines), maxProblems)]
	for i := range lines {
		lines[i] = truncate(lines[i])
	}
	return strings.Join(lines, "\n")
}
