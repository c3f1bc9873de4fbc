package route

import "strings"

// canonicalName gives a header's name as http.Header has it.
func canonicalName(name string) string {
	b := []byte(strings.ToLower(name))
	up := true
	for i, ch := range b {
		if up && 'a' <= ch && ch <= 'z' {
			b[i] = ch - 'a' + 'A'
		}
		up = ch == '-'
	}
	return string(b)
}

func (h *compiledHeaderMatcher) matches(header map[string][]string) bool {
	values := header[h.Name]
	if len(values) == 0 {
		return false
	}
	value := values[0]
	if len(values) > 1 {
		value = strings.Join(values, ",")
	}
	switch h.Kind {
	case HeaderExact:
		return value == h.Value
	case HeaderPrefix:
		return strings.HasPrefix(value, h.Value)
	case HeaderSuffix:
		return strings.HasSuffix(value, h.Value)
	case HeaderContains:
		return strings.Contains(value, h.Value)
	case HeaderRegex:
		return h.regex.MatchString(value)
	}
	return true
}
