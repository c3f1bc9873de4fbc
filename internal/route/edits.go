package route

import (
	"fmt"
	"net/http"
	"slices"

	"golang.org/x/net/http/httpguts"
)

// The limits of HeaderEdits.
const (
	MaxEdits            = 64   // fields that are removed or set
	MaxHeaderValueBytes = 4096 // of a value that is set
)

// HeaderEdits changes the header fields of a message: those in Remove go, then those in Set are replaced or added.
type HeaderEdits struct {
	Remove []string // canonical names
	Set    []HeaderField
}

// HeaderField is a field's canonical name and its value.
type HeaderField struct{ Name, Value string }

// reservedFields are the fields of a connection, and those that the program reads itself, which a route may not change.
var reservedFields = []string{
	"Connection", "Content-Length", "Host", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "X-Request-Id",
	"X-Timeout-Ms", "Idempotency-Key",
}

// Normalize makes the names canonical. The error is the first thing that is wrong with the edits; there is none for
// nil.
func (e *HeaderEdits) Normalize() error {
	if e == nil {
		return nil
	}
	for i := range e.Remove {
		if err := normalizeName(&e.Remove[i]); err != nil {
			return err
		}
	}
	for i := range e.Set {
		f := &e.Set[i]
		if err := normalizeName(&f.Name); err != nil {
			return err
		}
		if !httpguts.ValidHeaderFieldValue(f.Value) || len(f.Value) > MaxHeaderValueBytes {
			return fmt.Errorf("field %s: the value has control characters or over %d bytes", f.Name, MaxHeaderValueBytes)
		}
	}
	if n := len(e.Remove) + len(e.Set); n > MaxEdits {
		return fmt.Errorf("%d fields are changed; %d at most", n, MaxEdits)
	}
	return nil
}

// normalizeName makes a field's name canonical and checks that a route may change the field.
func normalizeName(name *string) error {
	*name = http.CanonicalHeaderKey(*name)
	if !httpguts.ValidHeaderFieldName(*name) || slices.Contains(reservedFields, *name) {
		return fmt.Errorf("field %q can't be changed", *name)
	}
	return nil
}

// Apply changes the fields of h; nil changes none.
func (e *HeaderEdits) Apply(h map[string][]string) {
	if e == nil {
		return
	}
	for _, name := range e.Remove {
		delete(h, name)
	}
	for _, f := range e.Set {
		h[f.Name] = []string{f.Value}
	}
}
