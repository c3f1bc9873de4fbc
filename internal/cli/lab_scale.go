package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/lab/capacity"
	"yokestall/internal/lab/scale"
)

// labScale plays fleets of hollow nodes and measures what control costs.
func labScale(out io.Writer) *cobra.Command {
	to, check, dir := "", "", ""
	c := &cobra.Command{
		Use:   "scale FILE",
		Short: "Measure what control costs at several sizes: real voters and nodes, and hollow nodes that share processes",
		Long: "A hollow node takes part in the fleet by a node's own code, and serves nothing. All processes are on loopback addresses of this machine,\n" +
			"and end with this one. The figures go to a file of JSON. --check PAGE runs nothing: it says where a page of figures is not what the files in\n" +
			"the folder capacity beside it say.",
		Args: func(cmd *cobra.Command, args []string) error {
			if check != "" {
				return cobra.NoArgs(cmd, args)
			}
			return cobra.ExactArgs(1)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if check != "" {
				return checkPage(out, check)
			}
			return playScale(cmd.Context(), out, cmd.ErrOrStderr(), args[0], to, dir)
		},
	}
	c.Flags().StringVar(&to, "out", "", "the `file` for the figures; without one only a summary is printed")
	c.Flags().StringVar(&dir, "dir", "", "(the system's for temporary files) a `folder` for the nodes' stores; on one disk the writes of a thousand nodes wait for each other")
	c.Flags().StringVar(&check, "check", "", "a `page` of figures")
	return c
}

// checkPage says where a page of figures parts from the files of measured runs.
func checkPage(out io.Writer, page string) error {
	err := capacity.CheckFile(page)
	if err == nil {
		fmt.Fprintf(out, "%s: its figures are those of the files\n", page)
		return nil
	}
	fmt.Fprintln(out, err)
	return ErrReported
}

func playScale(ctx context.Context, out, progress io.Writer, path, to, parent string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	plan, err := scale.Parse(path, text)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp(parent, "yokestall-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	began := time.Now()
	figures, err := scale.Play(ctx, plan, scale.Options{Dir: dir, Command: []string{self}, Tell: func(format string, args ...any) {
		fmt.Fprintf(progress, "%6.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}})
	if err != nil {
		return err
	}
	figures.Plan = filepath.ToSlash(path)
	figures.Command = "yokestall lab scale " + figures.Plan
	if parent != "" {
		figures.Command += " --dir " + parent
	}
	figures.Print(out)
	if to == "" {
		return nil
	}
	return figures.Write(to)
}

// scalePlan tells whether a file of the lab is a plan of hollow nodes rather than a day.
func scalePlan(path string) bool { return strings.HasPrefix(filepath.Base(path), "scale-") }
