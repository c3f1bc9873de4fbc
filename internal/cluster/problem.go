package cluster

import (
	"strconv"
	"strings"
)

// Problem is the error for a fault in a version or in a file.
type Problem struct {
	Source string // file or other origin of the fault; "": none
	Line   int    // line in the source, from 1; 0: no certain line
	Field  string // field at fault; "": no certain field
	Text   string
}

// Error returns "source:line: field: text", without the parts that are not set.
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
