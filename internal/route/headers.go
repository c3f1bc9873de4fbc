package route

import (
	"fmt"
	"regexp"
	"strings"
)

// HeaderKind says how a header field is compared (route.v3.HeaderMatcher).
type HeaderKind uint8

// The kinds of a condition on a header field.
const (
	HeaderExact HeaderKind = iota
	HeaderPrefix
	HeaderSuffix
	HeaderContains
	HeaderPresent
	HeaderRegex // matches the complete value, RE2 syntax
)

// HeaderMatcher is a condition on a header field. Several values of a field are compared as one, joined by commas, as
// Envoy does; such a lookup allocates.
type HeaderMatcher struct {
	Name   string // any case
	Kind   HeaderKind
	Value  string
	Invert bool // the condition is met where the comparison fails, or where the field is absent
}

// compiledHeaderMatcher is a HeaderMatcher whose name is canonical.
type compiledHeaderMatcher struct {
	HeaderMatcher
	regex *regexp.Regexp // for HeaderRegex
}

// compileHeader checks and compiles a condition on a header field.
func compileHeader(m *HeaderMatcher) (c compiledHeaderMatcher, err error) {
	if m.Name == "" || len(m.Name)+len(m.Value) > MaxPatternBytes {
		return c, fmt.Errorf("header %q: no name, or too long", m.Name)
	}
	c.HeaderMatcher = *m
	c.Name = canonicalName(m.Name)
	switch {
	case m.Kind == HeaderRegex:
		if c.regex, err = compileFullMatch(m.Value); err != nil {
			return c, fmt.Errorf("header %s: %w", m.Name, err)
		}
	case m.Kind > HeaderRegex:
		return c, fmt.Errorf("header %s: kind %d is unknown", m.Name, m.Kind)
	}
	return c, nil
}

// canonicalName returns a field's name as http.Header has it, also for names that http.CanonicalHeaderKey leaves as
// they are.
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

// compare compares the field's value, leaving Invert out of account.
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
