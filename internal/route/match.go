package route

import "slices"

func (c *compiledRoute) matches(r *Request, path string) bool {
	if len(c.Methods) > 0 && !slices.Contains(c.Methods, r.Method) {
		return false
	}
	switch {
	case c.regex != nil && !c.regex.MatchString(path):
		return false
	case c.template != nil && !matchTemplate(c.template, path):
		return false
	}
	for i := range c.headers {
		if h := &c.headers[i]; h.matches(r.Header) == h.Invert {
			return false
		}
	}
	return true
}
