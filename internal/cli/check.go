package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/files"
)

func check(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check configuration files with the cluster files that they point to, or cluster files and files of tenants alone",
		Long:  "Prints file:line: what is wrong, and exits with 1 if anything is. The running program gives the same verdict.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error {
			bad := false
			for _, path := range paths {
				s, warn, err := files.Check(path)
				for _, w := range warn {
					fmt.Fprintln(out, "warning:", w)
				}
				if err == nil && s != nil && s.Program.Agree.On() {
					t := s.Program.Agree.Lease
					fmt.Fprintf(out, "%s: a version that contradicts is in force, and acted on by no one else than by all, %v after it is taken up at the latest;\n"+
						"  a node acts on its rules for %v without a word from a majority of the voters, and then alone\n", path, t.ActivationBound().Round(time.Millisecond), t.HolderTerm().Round(time.Millisecond))
				}
				if err != nil {
					bad = true
					fmt.Fprintln(out, err)
				}
			}
			if bad {
				return ErrReported
			}
			return nil
		},
	}
}
