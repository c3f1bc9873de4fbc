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

// scaleRun holds the flags of `lab scale` and the writers that it prints to.
type scaleRun struct {
	out         io.Writer
	progress    io.Writer
	figuresPath string // path of the JSON file for the figures; "": no file is written
	storesDir   string // folder for the nodes' stores; "": the system's folder for temporary files
	pagePath    string // path of a page of figures to check without a run; "": a plan is run
}

// newLabScaleCommand returns the `lab scale` command, which measures the cost of control in fleets of hollow nodes.
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
			if r.pagePath != "" {
				return r.checkPage()
			}
			r.progress = cmd.ErrOrStderr()
			return r.run(cmd.Context(), args[0])
		},
	}
	flags := c.Flags()
	flags.StringVar(&r.figuresPath, "out", "", "the `file` for the figures; without one only a summary is printed")
	flags.StringVar(&r.storesDir, "dir", "", "(the system's for temporary files) a `folder` for the nodes' stores; "+
		"on one disk the writes of a thousand nodes wait for each other")
	flags.StringVar(&r.pagePath, "check", "", "a `page` of figures")
	return c
}

// checkArgs accepts one plan, or no argument together with --check.
func (r *scaleRun) checkArgs(cmd *cobra.Command, args []string) error {
	if r.pagePath != "" {
		return cobra.NoArgs(cmd, args)
	}
	return cobra.ExactArgs(1)(cmd, args)
}

// checkPage prints where a page of figures differs from the files of measured runs. It returns ErrReported if the page
// differs or can't be checked.
func (r *scaleRun) checkPage() error {
	err := capacity.CheckFile(r.pagePath)
	if err == nil {
		fmt.Fprintf(r.out, "%s: its figures are those of the files\n", r.pagePath)
		return nil
	}
	fmt.Fprintln(r.out, err)
	return ErrReported
}

// run runs a plan, prints its figures and writes them to the file of --out.
func (r *scaleRun) run(ctx context.Context, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	plan, err := scale.Parse(path, text)
	if err != nil {
		return err
	}
	figures, err := r.runPlan(ctx, plan)
	if err != nil {
		return err
	}
	figures.Plan = filepath.ToSlash(path)
	figures.Command = "yokestall lab scale " + figures.Plan
	if r.storesDir != "" {
		figures.Command += " --dir " + r.storesDir
	}
	figures.Print(r.out)
	if r.figuresPath == "" {
		return nil
	}
	return figures.Write(r.figuresPath)
}

// runPlan runs a plan and returns its figures. The plan's processes run this program's own executable. Their stores are
// removed afterwards.
func (r *scaleRun) runPlan(ctx context.Context, plan *scale.Plan) (*scale.Figures, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(r.storesDir, "yokestall-scale-")
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
