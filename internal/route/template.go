package route

import (
	"errors"
	"fmt"
	"strings"
)

// maxVariableBytes is the longest name of a variable in a template, in bytes.
const maxVariableBytes = 16

// segment is a part of a path template between two slashes, as in Envoy's uri_template.
type segment struct {
	kind    segmentKind
	literal string // the segment's text, for literalSegment only
}

type segmentKind uint8

const (
	literalSegment    segmentKind = iota
	singleSegment                 // *, {name} or {name=*}: any segment that is not empty
	remainingSegments             // ** or {name=**}, the last in a template: one or more segments, which may be empty
)

// compileTemplate parses a template. It also returns the template's literal prefix, up to the first segment that is not
// literal.
func compileTemplate(text string) (segments []segment, prefix string, err error) {
	if !strings.HasPrefix(text, "/") {
		return nil, "", errors.New("the path must begin with /")
	}
	names := map[string]bool{}
	literal := true // all segments so far are literal
	prefix = "/"
	for i, part := range strings.Split(text[1:], "/") {
		if i > 0 && segments[i-1].kind == remainingSegments {
			return nil, "", errors.New("** must be the last segment")
		}
		s, err := parseSegment(part, names)
		if err != nil {
			return nil, "", err
		}
		literal = literal && s.kind == literalSegment
		if literal && i > 0 {
			prefix += "/"
		}
		if literal {
			prefix += part
		}
		segments = append(segments, s)
	}
	return segments, prefix, nil
}

// parseSegment parses one segment of a template. If the segment is a variable, its name is added to names, which has the
// names of the variables before it.
func parseSegment(part string, names map[string]bool) (segment, error) {
	switch {
	case part == "*":
		return segment{kind: singleSegment}, nil
	case part == "**":
		return segment{kind: remainingSegments}, nil
	case strings.HasPrefix(part, "{") && strings.HasSuffix(part, "}"):
		return parseVariable(part, names)
	case strings.ContainsAny(part, "*{}"):
		return segment{}, fmt.Errorf("%q: a variable or wildcard must be a whole segment", part)
	}
	return segment{literal: part}, nil
}

// parseVariable parses "{name}" or "{name=pattern}" and adds the name to names.
func parseVariable(part string, names map[string]bool) (segment, error) {
	name, pattern, _ := strings.Cut(part[1:len(part)-1], "=")
	if !validVariableName(name) {
		return segment{}, fmt.Errorf("%s: the variable's name must be 1 to 16 letters, digits or _", part)
	}
	if names[name] {
		return segment{}, fmt.Errorf("%s: the variable's name is used twice", part)
	}
	names[name] = true
	switch pattern {
	case "", "*":
		return segment{kind: singleSegment}, nil
	case "**":
		return segment{kind: remainingSegments}, nil
	}
	return segment{}, fmt.Errorf("%s: the variable's pattern must be * or **", part)
}

func validVariableName(name string) bool {
	if name == "" || len(name) > maxVariableBytes {
		return false
	}
	for _, c := range []byte(name) {
		if c != '_' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return true
}

// matchTemplate reports whether a path matches a template.
func matchTemplate(segments []segment, path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	rest := path[1:]
	for i := range segments {
		s := &segments[i]
		if s.kind == remainingSegments {
			return true
		}
		end := strings.IndexByte(rest, '/')
		last := end < 0
		part := rest
		if !last {
			part, rest = rest[:end], rest[end+1:]
		}
		if s.kind == literalSegment && part != s.literal || s.kind == singleSegment && part == "" {
			return false
		}
		if last {
			return i == len(segments)-1
		}
	}
	return false // the path has more segments than the template
}
