package route

import (
	"fmt"
	"regexp"
	"strings"
)

// HeaderKind says how the value of a header field is compared (route.v3.HeaderMatcher).
type HeaderKind uint8

// The kinds of conditions on a header field.
const (
	HeaderExact HeaderKind = iota
	HeaderPrefix
	HeaderSuffix
	HeaderContains
	HeaderPresent
	HeaderRegex // an RE2 expression that matches the complete value
)

// HeaderMatcher is a condition on a header field. If a request has several values of the field, they are joined by commas
// and compared as one value, as Envoy does; joining them allocates memory in the lookup.
type HeaderMatcher struct {
	Name   string // the field's name in any case
	Kind   HeaderKind
	Value  string // the value, part of a value or expression to compare with; unused for HeaderPresent
	Invert bool   // the condition is met if the comparison fails or the field is absent
}

// compiledHeaderMatcher is a checked HeaderMatcher whose name is canonical.
type compiledHeaderMatcher struct {
	HeaderMatcher
	regex *regexp.Regexp // the compiled Value, for HeaderRegex only
}

// compileHeader checks and compiles a condition on a header field.
func compileHeader(m *HeaderMatcher) (c compiledHeaderMatcher, err error) {
	if m.Name == "" || len(m.Name)+len(m.Value) > MaxPatternBytes {
		return c, fmt.Errorf("header %q has no name, or its name and value together are over 1024 bytes", m.Name)
	}
	c.HeaderMatcher = *m
	c.Name = canonicalName(m.Name)
	switch {
	case m.Kind == HeaderRegex:
		if c.regex, err = compileFullMatch(m.Value); err != nil {
			return c, fmt.Errorf("header %s: %w", m.Name, err)
		}
	case m.Kind > HeaderRegex:
		return c, fmt.Errorf("header %s: match kind %d is unknown", m.Name, m.Kind)
	}
	return c, nil
}

// canonicalName returns a header field's name in the canonical case of http.Header's keys. It does so also for names that
// http.CanonicalHeaderKey leaves unchanged because they have invalid characters.
func canonicalName(name string) string {
	b := []byte(strings.ToLower(name))
	wordStart := true
	for i, ch := range b {
		if wordStart && 'a' <= ch && ch <= 'z' {
			b[i] = ch - 'a' + 'A'
		}
		wordStart = ch == '-'
	}
	return string(b)
}

// compare reports whether the field is present and its value fits the condition, without regard to Invert.
func (m *compiledHeaderMatcher) compare(header map[string][]string) bool {
	values := header[m.Name]
	if len(values) == 0 {
		return false
	}
	value := values[0]
	if len(values) > 1 {
		value = strings.Join(values, ",")
	}
	switch m.Kind {
	case HeaderExact:
		return value == m.Value
	case HeaderPrefix:
		return strings.HasPrefix(value, m.Value)
	case HeaderSuffix:
		return strings.HasSuffix(value, m.Value)
	case HeaderContains:
		return strings.Contains(value, m.Value)
	case HeaderRegex:
		return m.regex.MatchString(value)
	}
	return true
}
