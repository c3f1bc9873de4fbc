package route

import (
	"errors"
	"fmt"
	"strings"
)

// segment is a part of a path template between two slashes, in the manner of Envoy's
// uri_template: a literal, any one segment, or all that is left.
type segment struct {
	literal string
	kind    segmentKind
}

type segmentKind uint8

const (
	literalSegment    segmentKind = iota
	singleSegment                 // *, {name} or {name=*}: not empty
	remainingSegments             // ** or {name=**}: one segment or more, the last; may be empty
)

// compileTemplate reads a template and gives what it begins with, letter by letter.
func compileTemplate(text string) (list []segment, start string, err error) {
	if !strings.HasPrefix(text, "/") {
		return nil, "", errors.New("has to begin with /")
	}
	names := map[string]bool{}
	literal := true
	start = "/"
	for i, part := range strings.Split(text[1:], "/") {
		if len(list) > 0 && list[len(list)-1].kind == remainingSegments {
			return nil, "", errors.New("** has to be the last")
		}
		s := segment{literal: part}
		switch {
		case part == "*":
			s.kind = singleSegment
		case part == "**":
			s.kind = remainingSegments
		case strings.HasPrefix(part, "{") && strings.HasSuffix(part, "}"):
			name, pattern, _ := strings.Cut(part[1:len(part)-1], "=")
			if !validName(name) {
				return nil, "", fmt.Errorf("%s: the name has letters, digits and _ only", part)
			}
			if names[name] {
				return nil, "", fmt.Errorf("%s: the name stands there twice", part)
			}
			names[name] = true
			switch pattern {
			case "", "*":
				s.kind = singleSegment
			case "**":
				s.kind = remainingSegments
			default:
				return nil, "", fmt.Errorf("%s: a variable is * or **", part)
			}
		case strings.ContainsAny(part, "*{}"):
			return nil, "", fmt.Errorf("%q: a variable takes a whole segment", part)
		}
		if literal && s.kind == literalSegment {
			if i > 0 {
				start += "/"
			}
			start += part
		} else {
			literal = false
		}
		list = append(list, s)
	}
	return list, start, nil
}

func validName(name string) bool {
	if name == "" || len(name) > 16 {
		return false
	}
	for _, c := range []byte(name) {
		if c != '_' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return true
}

func matchTemplate(list []segment, path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	rest := path[1:]
	for i := range list {
		s := &list[i]
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
			return i == len(list)-1
		}
	}
	return false // more segments than the template has
}
