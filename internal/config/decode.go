package config

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"

	"yokestall/internal/cluster"
)

// Duration is a duration that files have as a string of time.ParseDuration, such as "1.4s" or "250ms".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// Decode decodes a TOML file of at most MaxFile bytes into the value that to points to. A key that the value's type does not
// have is a problem, and so is a checksum that does not match. Errors are cluster.Problems with the file's name and line, joined
// if there are several.
func Decode(name string, text []byte, to any) error {
	return joinChecksumProblem(name, text, decode(name, text, to, nil))
}

// decode implements Decode without the checksum. It also limits the number of tables and list values in the file.
func decode(name string, text []byte, to any, limits tableLimits) error {
	if len(text) > MaxFileBytes {
		return &cluster.Problem{Source: name, Text: fmt.Sprintf("over %d bytes", MaxFileBytes)}
	}
	if !utf8.Valid(text) {
		return &cluster.Problem{Source: name, Line: lineOfInvalidUTF8(text), Text: "is not UTF-8"}
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
		return unknownKeyProblems(name, strict)
	}
	return decodeProblem(name, err)
}

// lineOfInvalidUTF8 returns the line, counted from 1, of the first byte that is not valid UTF-8.
func lineOfInvalidUTF8(text []byte) int {
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
	return line
}

// unknownKeyProblems returns the file's first unknown keys, maxProblems at most, as joined problems.
func unknownKeyProblems(name string, strict *toml.StrictMissingError) error {
	var found []error
	for i := range strict.Errors {
		if i == maxProblems {
			break
		}
		e := &strict.Errors[i]
		line, _ := e.Position()
		found = append(found, &cluster.Problem{
			Source: name, Line: line, Field: truncate(strings.Join(e.Key(), ".")), Text: "is no known key",
		})
	}
	return errors.Join(found...)
}

// decodeProblem converts an error of the TOML library to a problem. It removes the library's prefix and, from type mismatches,
// the name of the Go type.
func decodeProblem(name string, err error) error {
	p := &cluster.Problem{Source: name, Text: truncate(strings.TrimPrefix(err.Error(), "toml: "))}
	if m := typeMismatchRE.FindStringSubmatch(p.Text); m != nil {
		p.Text = "can't be a " + m[1]
	}
	var where *toml.DecodeError
	if errors.As(err, &where) {
		p.Line, _ = where.Position()
		p.Field = truncate(strings.Join(where.Key(), "."))
	}
	return p
}

// typeMismatchRE matches the TOML library's error for a value whose type differs from that of its key.
var typeMismatchRE = regexp.MustCompile(`^cannot decode TOML (\w+) into `)
