package cli

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"
)

// newLabListCommand returns the `lab list` command.
func newLabListCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "list [FOLDER]",
		Short: "List the days of a folder",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			folder := filepath.Join("deploy", "lab")
			if len(args) > 0 {
				folder = args[0]
			}
			return listExperiments(out, folder)
		},
	}
}

// listExperiments prints one line for each experiment of a folder. It skips plans of `lab scale`.
func listExperiments(out io.Writer, folder string) error {
	paths, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	if err != nil || len(paths) == 0 {
		return errors.Join(fmt.Errorf("%s: no experiment files (*.toml) found", folder), err)
	}
	for _, path := range paths {
		if isScalePlan(path) {
			continue
		}
		e, err := loadExperiment(path)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%-36s %s\n", path, e.Summary())
	}
	return nil
}

// isScalePlan reports whether a file of the lab is, by its name, a plan of `lab scale` and not an experiment.
func isScalePlan(path string) bool { return strings.HasPrefix(filepath.Base(path), "scale-") }
