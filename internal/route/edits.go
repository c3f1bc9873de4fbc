package route

import (
	"fmt"
	"net/http"
	"slices"

	"golang.org/x/net/http/httpguts"
)

// The limits of HeaderEdits.
const (
	MaxEdits            = 64   // number of fields that are removed or set
	MaxHeaderValueBytes = 4096 // length of a value that is set
)

// HeaderEdits changes the header fields of a message: first the fields in Remove are removed, then the fields in Set are
// added, each in place of all fields with its name.
type HeaderEdits struct {
	Remove []string // names, which Normalize makes canonical
	Set    []HeaderField
}

// HeaderField is a header field's name, which HeaderEdits.Normalize makes canonical, and its value.
type HeaderField struct{ Name, Value string }

// reservedFields are the header fields that a route may not change: those that manage a connection or frame a message, and
// those that this program reads itself.
var reservedFields = []string{
	"Connection", "Content-Length", "Host", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "X-Request-Id",
	"X-Timeout-Ms", "Idempotency-Key",
}

// Normalize makes the names canonical and checks the edits. The error reports the first fault. A nil e has none.
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
			return fmt.Errorf("header field %s: the value has invalid characters or is over %d bytes",
				f.Name, MaxHeaderValueBytes)
		}
	}
	if n := len(e.Remove) + len(e.Set); n > MaxEdits {
		return fmt.Errorf("%d header fields are removed or set, at most %d are allowed", n, MaxEdits)
	}
	return nil
}

// normalizeName makes a header field's name canonical and checks that a route may change the field.
func normalizeName(name *string) error {
	*name = http.CanonicalHeaderKey(*name)
	if !httpguts.ValidHeaderFieldName(*name) || slices.Contains(reservedFields, *name) {
		return fmt.Errorf("header field %q has an invalid name or may not be changed by a route", *name)
	}
	return nil
}

// Apply applies the edits to h, whose keys are canonical names. A nil e changes nothing.
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
