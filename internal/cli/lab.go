package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"yokestall/internal/lab"
)

// defaultSeeds is the default of --seeds.
const defaultSeeds = 4

// newLabCommand makes `lab` and its subcommands.
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

// loadExperiment reads an experiment's file.
func loadExperiment(path string) (*lab.Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return lab.Parse(path, text)
}

// requireAll plays the days of all files; ErrReported if one does not pass, which has been printed.
func requireAll(paths []string, play func(path string) (passed bool, err error)) error {
	passed, err := allPass(paths, play)
	if err == nil && !passed {
		err = ErrReported
	}
	return err
}

// allPass calls play with each item of a list, past those that do not pass; the first error ends it.
func allPass[T any](list []T, play func(T) (passed bool, err error)) (bool, error) {
	all := true
	for _, item := range list {
		passed, err := play(item)
		if err != nil {
			return false, err
		}
		all = all && passed
	}
	return all, nil
}

// printBeside prints a day's outcome in real time beside that in virtual time, and what the former broke. void says
// that the load generator was late. It reports whether the outcome in real time passes.
func printBeside[T any](
	out io.Writer, e *lab.Experiment, virtual, realTime *lab.Outcome, broken []T, void bool,
) (passed bool) {
	fmt.Fprintln(out, e.Summary())
	lab.Table(out, []*lab.Outcome{virtual, realTime})
	printBroken(out, broken)
	if void {
		fmt.Fprintln(out, "VOID: the load generator was late itself")
	}
	return len(broken) == 0 && !void
}

// printBroken prints a line a rule that was broken.
func printBroken[T any](out io.Writer, broken []T) {
	for _, b := range broken {
		fmt.Fprintln(out, "NOT HELD:", b)
	}
}
