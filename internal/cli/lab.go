package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"yokestall/internal/lab"
)

// defaultSeeds is the default of --seeds, the number of seeds with which an experiment is run.
const defaultSeeds = 4

// newLabCommand returns the `lab` command and its subcommands.
func newLabCommand(out io.Writer) *cobra.Command {
	c := &cobra.Command{
		Use:   "lab",
		Short: "Play days of a fleet in virtual time: what would happen to us if",
	}
	var seeds int
	c.PersistentFlags().IntVar(&seeds, "seeds", defaultSeeds, "play `N` seeds, from the file's own on")
	c.AddCommand(
		newLabRunCommand(out, &seeds),
		newLabRealCommand(out),
		newLabFleetCommand(out),
		newLabCompareCommand(out, &seeds),
		newLabListCommand(out),
		newLabVersionsCommand(out),
		newLabServeCommand(),
		newLabScaleCommand(out),
		newLabHollowCommand(),
		newLabProcessCommand(out),
	)
	return c
}

// loadExperiment reads the file of an experiment.
func loadExperiment(path string) (*lab.Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return lab.Parse(path, text)
}

// runAll calls run with the path of each experiment. It returns ErrReported if an experiment does not pass; run has then
// printed why.
func runAll(paths []string, run func(path string) (passed bool, err error)) error {
	passed, err := allPass(paths, run)
	if err == nil && !passed {
		err = ErrReported
	}
	return err
}

// allPass calls run with each item of a list and reports whether all items pass. It goes on after an item that does not
// pass, and ends at the first error.
func allPass[T any](list []T, run func(T) (passed bool, err error)) (bool, error) {
	all := true
	for _, item := range list {
		passed, err := run(item)
		if err != nil {
			return false, err
		}
		all = all && passed
	}
	return all, nil
}

// printSideBySide prints an experiment's outcomes in virtual time and in real time side by side, and the violations in
// real time. void says that the load generator ran late, so that the outcome in real time means nothing. printSideBySide
// reports whether the outcome in real time passes.
func printSideBySide[T any](
	out io.Writer, e *lab.Experiment, virtual, realTime *lab.Outcome, violations []T, void bool,
) (passed bool) {
	fmt.Fprintln(out, e.Summary())
	lab.WriteTable(out, []*lab.Outcome{virtual, realTime})
	printViolations(out, violations)
	if void {
		fmt.Fprintln(out, "VOID: the load generator was late itself")
	}
	return len(violations) == 0 && !void
}

// printViolations prints one line for each violation.
func printViolations[T any](out io.Writer, violations []T) {
	for _, b := range violations {
		fmt.Fprintln(out, "NOT HELD:", b)
	}
}
