package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/lab/capacity"
	"yokestall/internal/lab/scale"
)

// scaleRun is `lab scale` with its flags.
type scaleRun struct {
	out      io.Writer
	progress io.Writer
	figures  string // path of the file for the figures; "": none
	stores   string // folder for the nodes' stores; "": the system's for temporary files
	page     string // a page of figures, which is only checked
}

// newLabScaleCommand makes `lab scale`: fleets of hollow nodes, and what control costs.
func newLabScaleCommand(out io.Writer) *cobra.Command {
	r := &scaleRun{out: out}
	c := &cobra.Command{
		Use:   "scale FILE",
		Short: "Measure what control costs at several sizes: real voters and nodes, and hollow nodes that share processes",
		Long: "A hollow node takes part in the fleet by a node's own code, and serves nothing. " +
			"All processes are on loopback addresses of this machine,\n" +
			"and end with this one. The figures go to a file of JSON. " +
			"--check PAGE runs nothing: it says where a page of figures is not what the files in\n" +
			"the folder capacity beside it say.",
		Args: r.checkArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if r.page != "" {
				return r.checkPage()
			}
			r.progress = cmd.ErrOrStderr()
			return r.run(cmd.Context(), args[0])
		},
	}
	flags := c.Flags()
	flags.StringVar(&r.figures, "out", "", "the `file` for the figures; without one only a summary is printed")
	flags.StringVar(&r.stores, "dir", "", "(the system's for temporary files) a `folder` for the nodes' stores; "+
		"on one disk the writes of a thousand nodes wait for each other")
	flags.StringVar(&r.page, "check", "", "a `page` of figures")
	return c
}

// checkArgs demands a plan, or a page alone.
func (r *scaleRun) checkArgs(cmd *cobra.Command, args []string) error {
	if r.page != "" {
		return cobra.NoArgs(cmd, args)
	}
	return cobra.ExactArgs(1)(cmd, args)
}

// checkPage prints where a page of figures differs from the files of measured runs; ErrReported if it does.
func (r *scaleRun) checkPage() error {
	err := capacity.CheckFile(r.page)
	if err == nil {
		fmt.Fprintf(r.out, "%s: its figures are those of the files\n", r.page)
		return nil
	}
	fmt.Fprintln(r.out, err)
	return ErrReported
}

// run measures a plan, and prints and writes the figures.
func (r *scaleRun) run(ctx context.Context, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	plan, err := scale.Parse(path, text)
	if err != nil {
		return err
	}
	figures, err := r.play(ctx, plan)
	if err != nil {
		return err
	}
	figures.Plan = filepath.ToSlash(path)
	figures.Command = "yokestall lab scale " + figures.Plan
	if r.stores != "" {
		figures.Command += " --dir " + r.stores
	}
	figures.Print(r.out)
	if r.figures == "" {
		return nil
	}
	return figures.Write(r.figures)
}

// play runs a plan with this program itself as the command of its processes. Their stores are removed afterwards.
func (r *scaleRun) play(ctx context.Context, plan *scale.Plan) (*scale.Figures, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(r.stores, "yokestall-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	start := time.Now()
	printProgress := func(format string, args ...any) {
		fmt.Fprintf(r.progress, "%6.1f s  %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
	}
	return scale.Play(ctx, plan, scale.Options{Dir: dir, Command: []string{executable}, Progress: printProgress})
}
