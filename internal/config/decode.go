package config

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"

	"yokestall/internal/cluster"
)

// Duration is a time as files have it: "1.4s", "250ms".
type Duration struct{ time.Duration }

// UnmarshalText reads a time such as "1.4s" or "250ms".
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// decode reads TOML strictly: a key that nobody knows is a mistake.
func decode(name string, text []byte, to any, limits tableLimits) error {
	switch {
	case len(text) > MaxFile:
		return &cluster.Problem{Source: name, Text: fmt.Sprintf("over %d bytes", MaxFile)}
	case !utf8.Valid(text):
		line := 1
		for i := 0; i < len(text); {
			r, n := utf8.DecodeRune(text[i:])
			if r == utf8.RuneError && n == 1 {
				break
			}
			if r == '\n' {
				line++
			}
			i += n
		}
		return &cluster.Problem{Source: name, Line: line, Text: "is not UTF-8"}
	}
	if err := survey(name, text, to, limits); err != nil {
		return err
	}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(to)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var found []error
		for i := range strict.Errors {
			if i == maxFaults {
				break
			}
			e := &strict.Errors[i]
			line, _ := e.Position()
			found = append(found, &cluster.Problem{
				Source: name, Line: line, Field: shorten(strings.Join(e.Key(), ".")), Text: "is no known key",
			})
		}
		return errors.Join(found...)
	}
	p := &cluster.Problem{Source: name, Text: shorten(strings.TrimPrefix(err.Error(), "toml: "))}
	if m := wrongType.FindStringSubmatch(p.Text); m != nil { // the library goes on with our own types
		p.Text = "can't be a " + m[1]
	}
	var where *toml.DecodeError
	if errors.As(err, &where) {
		p.Line, _ = where.Position()
		p.Field = shorten(strings.Join(where.Key(), "."))
	}
	return p
}

var wrongType = regexp.MustCompile(`^cannot decode TOML (\w+) into `)

// Decode reads TOML strictly into a value; what is wrong is told by file and line.
func Decode(name string, text []byte, to any) error { return decode(name, text, to, nil) }

// Reporter collects what is wrong with a file's content, by the line of a table's key. index counts tables of the
// same name from 0; below 0: there is one. The table "" is the file's own keys. Err gives all of it, up to maxFaults.
func Reporter(name string, text []byte) (report func(table string, index int, key, format string, args ...any), err func() error) {
	var found []error
	lines := sync.OnceValue(func() lines { return newLines(text) })
	report = func(table string, index int, key, format string, args ...any) {
		if len(found) == maxFaults {
			return
		}
		p := &cluster.Problem{Source: name, Line: lines().of(table, index, key), Text: shorten(fmt.Sprintf(format, args...))}
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

type reporter func(table string, index int, key, format string, args ...any)

// lines finds where things stand in a TOML file, for messages: it goes by the lines'
// beginnings, so that a string over several lines can lead it astray, not more.
type lines struct{ text []string }

func newLines(text []byte) lines { return lines{strings.Split(string(text), "\n")} }

// of gives the line of a key in the table with an index among those of its name (below
// 0: the first), the table's where the key is not there, 0 where the table is not. "" is the
// file's own, before all tables.
func (l lines) of(table string, index int, key string) int {
	found, inside, n := 0, table == "", -1
	for i, line := range l.text {
		if name, ok := tableOf(line); ok {
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

// tableOf gives the table that a line begins.
func tableOf(line string) (name string, ok bool) {
	if line = strings.TrimSpace(line); !strings.HasPrefix(line, "[") {
		return "", false
	}
	m := tableLine.FindStringSubmatch(line)
	if m == nil {
		return "", false
	}
	return m[1], true
}

var tableLine = regexp.MustCompile(`^\s*\[+\s*([A-Za-z0-9_.]+)\s*\]+`)
