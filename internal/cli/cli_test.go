package cli

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

// run executes a command line and returns its standard output and its error.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := New(&out, io.Discard)
	c.SetArgs(args)
	err := c.ExecuteContext(t.Context())
	return out.String(), err
}

// failsWith reports whether err is not nil and its text contains text.
func failsWith(err error, text string) bool {
	return err != nil && strings.Contains(err.Error(), text)
}

// reportsFinding reports whether a command returned ErrReported and its output begins with prefix and contains text.
func reportsFinding(out string, err error, prefix, text string) bool {
	return errors.Is(err, ErrReported) && strings.HasPrefix(out, prefix) && strings.Contains(out, text)
}
