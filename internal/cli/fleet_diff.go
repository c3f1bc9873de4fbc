package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
)

func fleetDiff(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Say how two configurations differ, and what of it two nodes may not act on at one time",
		Long: "Reads both with their cluster files. Exits with 1 where they contradict: give the new one to all nodes at once, or to none\n" +
			"while another acts on the old one.",
		Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, paths []string) error {
			var both []*consensus.Version
			for _, path := range paths {
				s, err := files.Load(path)
				if err != nil {
					return err
				}
				both = append(both, &consensus.Version{Program: s.Program, Clusters: s.Version.Clusters})
			}
			list, table := consensus.Differences(both[0], both[1]), consensus.Table()
			for _, d := range list {
				if d.Contradicts {
					fmt.Fprintf(out, "CONTRADICTS %v (%s)\n", d, table[d.Kind].Why)
				} else {
					fmt.Fprintf(out, "differs     %v\n", d)
				}
			}
			if consensus.Contradicts(list) {
				return ErrReported
			}
			return nil
		},
	}
}
