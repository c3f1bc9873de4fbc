package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
)

// newLabCompareCommand returns the `lab compare` command; seeds is the value of the flag --seeds of `lab`.
func newLabCompareCommand(out io.Writer, seeds *int) *cobra.Command {
	return &cobra.Command{
		Use:   "compare A B",
		Short: "Play two days on the same seeds, and say whether the second gives more service than the first",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, paths []string) error {
			return compareExperiments(out, paths, max(2, *seeds))
		},
	}
}

// compareExperiments runs the experiments of two files on the same seeds and prints the service of the second relative to
// that of the first.
func compareExperiments(out io.Writer, paths []string, seeds int) error {
	var outcomes []*lab.Outcome
	for _, path := range paths {
		e, err := loadExperiment(path)
		if err != nil {
			return err
		}
		o, err := lab.Run(e, path, fleetsim.NewBalancer, seeds)
		if err != nil {
			return err
		}
		outcomes = append(outcomes, o)
	}
	lab.WriteTable(out, outcomes)
	fmt.Fprintln(out, "service of the second over the first:", lab.Compare(outcomes[0], outcomes[1]))
	return nil
}
