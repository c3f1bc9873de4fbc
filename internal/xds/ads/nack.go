package ads

import (
	"fmt"
	"strings"
)

// errorDetail returns a NACK's error detail, bounded in errors and bytes; "" without errors.
func errorDetail(errs []error) string {
	if len(errs) == 0 {
		return ""
	}
	var b strings.Builder
	for i, err := range errs {
		if i == maxErrorsInNACK {
			fmt.Fprintf(&b, "; and %d more", len(errs)-i)
			break
		}
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(err.Error())
	}
	text := strings.ToValidUTF8(b.String(), "?")
	return text[:min(len(text), maxErrorDetailBytes)]
}
