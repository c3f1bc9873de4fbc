package cli

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

// run executes a command line and returns what it prints.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := New(&out, io.Discard)
	c.SetArgs(args)
	err := c.ExecuteContext(t.Context())
	return out.String(), err
}

// failsWith reports whether err is an error whose text contains a text.
func failsWith(err error, text string) bool {
	return err != nil && strings.Contains(err.Error(), text)
}

// reports reports whether a command ended with ErrReported after an output that begins with prefix and contains text.
func reports(out string, err error, prefix, text string) bool {
	return errors.Is(err, ErrReported) && strings.HasPrefix(out, prefix) && strings.Contains(out, text)
}
