package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/files"
	"yokestall/internal/fleet/lease"
)

// newCheckCommand returns the `check` command. It prints what is wrong to out, and by what valid files are protected to notes.
func newCheckCommand(out, notes io.Writer) *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...",
		Short: "Check configuration files with the cluster files that they point to, " +
			"or cluster files and files of tenants alone",
		Long: "Prints file:line: what is wrong, and exits with 1 if anything is. The running program gives the same verdict.\n" +
			"To the log it says by what a part of a valid file is told from the complete file.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error { return checkFiles(out, notes, paths) },
	}
}

// checkFiles checks all files and prints their warnings and errors. It returns ErrReported if a file is rejected.
func checkFiles(out, notes io.Writer, paths []string) error {
	rejected := false
	for _, path := range paths {
		result, err := files.Check(path)
		if result != nil {
			fmt.Fprintln(notes, files.ProtectionLine(result.Protections))
			printCheckResult(out, path, result)
		}
		if err != nil {
			rejected = true
			fmt.Fprintln(out, err)
		}
	}
	if rejected {
		return ErrReported
	}
	return nil
}

// printCheckResult prints what a check found of valid files: warnings, and the bounds of a node's lease.
func printCheckResult(out io.Writer, path string, r *files.CheckResult) {
	for _, w := range r.Warnings {
		fmt.Fprintln(out, "warning:", w)
	}
	if s := r.Configuration; s != nil && s.Program.Agree.On() {
		printLeaseBounds(out, path, s.Program.Agree.Lease)
	}
}

// printLeaseBounds prints the two bounds that a node's lease settings imply: the longest time until a version
// that contradicts another is in force, and how long a node acts on a version without hearing from a majority of the voters.
func printLeaseBounds(out io.Writer, path string, c lease.Config) {
	fmt.Fprintf(out, "%s: a version that contradicts is in force, and acted on by no one else than by all, "+
		"%v after it is taken up at the latest;\n"+
		"  a node acts on its rules for %v without a word from a majority of the voters, and then alone\n",
		path, c.ActivationBound().Round(time.Millisecond), c.HolderTerm().Round(time.Millisecond))
}
