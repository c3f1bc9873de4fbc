package route

import (
	"fmt"
	"net/http"
	"slices"

	"golang.org/x/net/http/httpguts"
)

// HeaderEdits changes a message's fields: what is named in Remove goes, then Set replaces or adds.
type HeaderEdits struct {
	Remove []string // canonical names
	Set    []HeaderField
}

// HeaderField is a field's canonical name and value.
type HeaderField struct{ Name, Value string }

// reservedFields are fields that belong to the connection or the program, which a route may not change.
var reservedFields = []string{
	"Connection", "Content-Length", "Host", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "X-Request-Id",
	"X-Timeout-Ms", "Idempotency-Key",
}

// Normalize gives what is wrong with edits, nil if nothing is. It makes names canonical.
func (e *HeaderEdits) Normalize() error {
	check := func(name *string) error {
		*name = http.CanonicalHeaderKey(*name)
		if !httpguts.ValidHeaderFieldName(*name) || slices.Contains(reservedFields, *name) {
			return fmt.Errorf("field %q can't be changed", *name)
		}
		return nil
	}
	for i := range e.Remove {
		if err := check(&e.Remove[i]); err != nil {
			return err
		}
	}
	for i := range e.Set {
		f := &e.Set[i]
		if err := check(&f.Name); err != nil {
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

// The bounds of Edits.
const (
	MaxEdits            = 64
	MaxHeaderValueBytes = 4096 // bytes of a value
)

// Apply changes fields; a nil Edits changes none.
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
