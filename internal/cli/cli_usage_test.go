package cli

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"testing"

	"github.com/spf13/cobra"

	"yokestall/internal/testutil/golden"
)

// The usage text of every command, hidden commands included, equals the golden file, since scripts and the operators'
// documentation depend on it. YOKESTALL_WRITE=1 regenerates the golden file.
func TestGoldenUsage(t *testing.T) {
	const path = "testdata/golden/usage.txt"
	var usage bytes.Buffer
	root := New(io.Discard, io.Discard)
	root.InitDefaultHelpFlag()
	writeUsage(t, &usage, root)
	if os.Getenv("YOKESTALL_WRITE") != "" {
		if err := os.WriteFile(path, usage.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := golden.Read(t, path); !bytes.Equal(usage.Bytes(), want) {
		t.Errorf("usage text\n%s\nwant\n%s", usage.Bytes(), want)
	}
}

// writeUsage writes the help text of a command and of all its subcommands, recursively.
func writeUsage(t *testing.T, to *bytes.Buffer, c *cobra.Command) {
	t.Helper()
	fmt.Fprintf(to, "===== %s (hidden: %v)\n", c.CommandPath(), c.Hidden)
	c.SetOut(to)
	if err := c.Help(); err != nil {
		t.Fatal(err)
	}
	for _, sub := range c.Commands() {
		writeUsage(t, to, sub)
	}
}
