package cli

import (
	"bytes"
	"io"
	"testing"
)

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := New(&out, io.Discard)
	c.SetArgs(args)
	err := c.ExecuteContext(t.Context())
	return out.String(), err
}
