package cluster

import (
	"strconv"
	"strings"
)

// Problem is the error for a version or a file that can't be used.
type Problem struct {
	Source string // the file; "": none
	Line   int    // from 1; 0: the file as such
	Field  string // may be ""
	Text   string
}

// Error returns file:line: field: text.
func (p *Problem) Error() string {
	var b strings.Builder
	if p.Source != "" {
		b.WriteString(p.Source)
		if p.Line > 0 {
			b.WriteString(":" + strconv.Itoa(p.Line))
		}
		b.WriteString(": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}
