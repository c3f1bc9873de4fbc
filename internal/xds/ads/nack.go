package ads

import (
	"fmt"
	"strings"
)

// errorDetail returns the error detail of a NACK, limited to maxErrorsInNACK errors and maxErrorDetailBytes; "" if there
// are no errors.
func errorDetail(errs []error) string {
	if len(errs) == 0 {
		return ""
	}
	var b strings.Builder
	for i, err := range errs {
		if i == maxErrorsInNACK {
			fmt.Fprintf(&b, "; and %d more errors", len(errs)-i)
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
