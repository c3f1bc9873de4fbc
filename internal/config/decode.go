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

// Duration is a duration as files have it: "1.4s", "250ms".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// Decode decodes TOML into a value; an unknown key is a problem. The error has all problems by file and line.
func Decode(name string, text []byte, to any) error { return decode(name, text, to, nil) }

// decode is Decode with limits of tables.
func decode(name string, text []byte, to any, limits tableLimits) error {
	if len(text) > MaxFile {
		return &cluster.Problem{Source: name, Text: fmt.Sprintf("over %d bytes", MaxFile)}
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
		return unknownKeys(name, strict)
	}
	return decodeProblem(name, err)
}

// lineOfInvalidUTF8 returns the line, from 1, of the first byte that is not UTF-8.
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

// unknownKeys returns the problems of a file with unknown keys.
func unknownKeys(name string, strict *toml.StrictMissingError) error {
	var found []error
	for i := range strict.Errors {
		if i == maxProblems {
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

// decodeProblem returns an error of the TOML library as a problem, without the library's name and our types'.
func decodeProblem(name string, err error) error {
	p := &cluster.Problem{Source: name, Text: shorten(strings.TrimPrefix(err.Error(), "toml: "))}
	if m := wrongType.FindStringSubmatch(p.Text); m != nil {
		p.Text = "can't be a " + m[1]
	}
	var where *toml.DecodeError
	if errors.As(err, &where) {
		p.Line, _ = where.Position()
		p.Field = shorten(strings.Join(where.Key(), "."))
	}
	return p
}

// wrongType matches the library's error of a value of another type than the key's.
var wrongType = regexp.MustCompile(`^cannot decode TOML (\w+) into `)
