package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/files"
	"yokestall/internal/fleet/lease"
)

// newCheckCommand returns the `check` command.
func newCheckCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...",
		Short: "Check configuration files with the cluster files that they point to, " +
			"or cluster files and files of tenants alone",
		Long: "Prints file:line: what is wrong, and exits with 1 if anything is. The running program gives the same verdict.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error { return checkFiles(out, paths) },
	}
}

// checkFiles checks all files and prints their warnings and errors. It returns ErrReported if a file is rejected.
func checkFiles(out io.Writer, paths []string) error {
	rejected := false
	for _, path := range paths {
		s, warnings, err := files.Check(path)
		for _, w := range warnings {
			fmt.Fprintln(out, "warning:", w)
		}
		if err != nil {
			rejected = true
			fmt.Fprintln(out, err)
			continue
		}
		if s != nil && s.Program.Agree.On() {
			printLeaseBounds(out, path, s.Program.Agree.Lease)
		}
	}
	if rejected {
		return ErrReported
	}
	return nil
}

// printLeaseBounds prints the two bounds that a node's lease settings imply: the longest time until a version
// that contradicts another is in force, and how long a node acts on a version without hearing from a majority of the voters.
func printLeaseBounds(out io.Writer, path string, c lease.Config) {
	fmt.Fprintf(out, "%s: a version that contradicts is in force, and acted on by no one else than by all, "+
		"%v after it is taken up at the latest;\n"+
		"  a node acts on its rules for %v without a word from a majority of the voters, and then alone\n",
		path, c.ActivationBound().Round(time.Millisecond), c.HolderTerm().Round(time.Millisecond))
}
