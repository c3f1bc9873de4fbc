package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"yokestall/internal/files"
)

// newSealCommand returns the `seal` command.
func newSealCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "seal FILE...",
		Short: "Give configuration files a checksum of what they hold now, by which they are known to be complete",
		Long: "Says that each FILE is complete as it is: the program's file, a cluster file, " +
			"a file of tenants or a file in xDS form. A valid file\n" +
			"gets a checksum in its first line (JSON and .pb: in FILE.sha256 beside it) and is replaced by a rename, " +
			"so that a running program\n" +
			"takes it. After the next edit it has to be sealed again. Exits with 1 if a file is invalid, or open for writing.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error { return sealFiles(out, paths) },
	}
}

// sealFiles seals all files and prints the errors. It returns ErrReported if a file was not sealed.
func sealFiles(out io.Writer, paths []string) error {
	failed := false
	for _, path := range paths {
		if err := files.Seal(path); err != nil {
			failed = true
			fmt.Fprintln(out, err)
		}
	}
	if failed {
		return ErrReported
	}
	return nil
}
