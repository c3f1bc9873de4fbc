package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
)

// newFleetDiffCommand returns the `fleet diff` command. It compares files only and connects to no fleet.
func newFleetDiffCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Say how two configurations differ, and what of it two nodes may not act on at one time",
		Long: "Reads both with their cluster files. Exits with 1 where they contradict: " +
			"give the new one to all nodes at once, or to none\n" +
			"while another acts on the old one.",
		Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, paths []string) error { return printDifferences(out, paths[0], paths[1]) },
	}
}

// printDifferences prints one line for each difference of two configurations. It returns ErrReported if they contradict.
func printDifferences(out io.Writer, oldPath, newPath string) error {
	oldVersion, err := loadVersion(oldPath)
	if err != nil {
		return err
	}
	newVersion, err := loadVersion(newPath)
	if err != nil {
		return err
	}
	differences, rules := consensus.Differences(oldVersion, newVersion), consensus.DifferenceTable()
	for _, d := range differences {
		if d.Contradicts {
			fmt.Fprintf(out, "CONTRADICTS %v (%s)\n", d, rules[d.Kind].Reason)
		} else {
			fmt.Fprintf(out, "differs     %v\n", d)
		}
	}
	if consensus.Contradicts(differences) {
		return ErrReported
	}
	return nil
}

// loadVersion reads a configuration file and the files that it refers to.
func loadVersion(path string) (*consensus.Version, error) {
	s, err := files.Load(path)
	if err != nil {
		return nil, err
	}
	return &consensus.Version{Program: s.Program, Clusters: s.Version.Clusters}, nil
}
