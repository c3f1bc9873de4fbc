package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/lab/process"
)

// processRunLimit is the default of --limit, the time limit for all sizes together.
const processRunLimit = 30 * time.Minute

// processRun holds the flags of `lab process`.
type processRun struct {
	out        io.Writer
	writeDir   string        // folder for the files of each size, without measuring; "": the sizes are measured
	reportPath string        // path of the JSON report; "": no report is written
	sizes      []string      // names of the plan's sizes to use; empty: all sizes
	limit      time.Duration // time limit for all sizes together
}

// newLabProcessCommand returns the `lab process` command, which measures one process of the program at the sizes that a
// plan file gives.
func newLabProcessCommand(out io.Writer) *cobra.Command {
	r := &processRun{out: out}
	c := &cobra.Command{
		Use:   "process FILE",
		Short: "Measure one real process at sizes that a file gives: memory, CPU time, changes, added latency",
		Long: "Starts this program itself before stand-in servers on loopback, " +
			"at each size of the file (deploy/lab/process), and measures\n" +
			"what it takes to check, to start, to rest, to be asked and to be changed. " +
			"Says nothing of a machine that is busy otherwise:\n" +
			"CPU times and memory hold there, latencies don't.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, paths []string) error { return r.run(c.Context(), paths[0]) },
	}
	r.addFlags(c)
	return c
}

// addFlags registers the flags with the command.
func (r *processRun) addFlags(c *cobra.Command) {
	flags := c.Flags()
	flags.StringVar(&r.writeDir, "write", "", "only write the files of each size below this `folder`")
	flags.StringVar(&r.reportPath, "out", "", "write the figures to this `file`, as JSON")
	flags.StringSliceVar(&r.sizes, "size", nil, "only these sizes of the file, by `name`")
	flags.DurationVar(&r.limit, "limit", processRunLimit, "end after so long, with what has been measured")
}

// run reads a plan and measures its sizes. With --write it only writes the files of each size.
func (r *processRun) run(ctx context.Context, path string) error {
	plan, err := process.ReadPlan(path)
	if err != nil {
		return err
	}
	if err := plan.Select(r.sizes); err != nil {
		return err
	}
	if r.writeDir != "" {
		return r.writeSizes(plan)
	}
	return r.measure(ctx, plan, path)
}

// writeSizes writes the files of each size to a folder that is named after the size. A size with more tenants than the
// program accepts gets a second folder, with its fallback tenants.
func (r *processRun) writeSizes(plan *process.Plan) error {
	for _, size := range plan.WithFallbacks() {
		g := process.Generator{Size: size, Seed: plan.Seed, Place: process.DefaultPlace()}
		dir := filepath.Join(r.writeDir, size.Name)
		if err := g.Write(dir); err != nil {
			return err
		}
		fmt.Fprintf(r.out, "%s: %d services, %d servers each, %d routes, %d tenants\n",
			dir, size.Services, size.Servers, size.Routes, size.Tenants)
	}
	return nil
}

// measure measures the sizes of a plan and writes the report. If the measurement fails, the report has the figures that
// were measured before the error.
func (r *processRun) measure(ctx context.Context, plan *process.Plan, path string) error {
	ctx, cancel := context.WithTimeout(ctx, r.limit)
	defer cancel()
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "yokestall-process-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	figures, err := process.Measure(ctx, plan, dir, []string{executable}, nil, r.out)
	if err != nil {
		figures.Notes = append(figures.Notes, "the run ended early: "+strings.ReplaceAll(err.Error(), dir, ""))
	}
	figures.Command = "yokestall lab process " + path
	if len(r.sizes) > 0 {
		figures.Command += " --size " + strings.Join(r.sizes, ",")
	}
	if r.reportPath == "" {
		return err
	}
	text, encodeErr := figures.JSON()
	if encodeErr != nil {
		return errors.Join(err, encodeErr)
	}
	return errors.Join(err, os.WriteFile(r.reportPath, text, 0o644))
}
