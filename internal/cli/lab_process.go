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

// processRun is how `lab process` was asked.
type processRun struct {
	write string        // the folder that files are only written to; "": they are measured
	out   string        // the file of the report; "": none
	sizes []string      // of the plan that are wanted; none: all
	limit time.Duration // of the whole run
}

// labProcess measures one process of the program at sizes that a file gives.
func labProcess(out io.Writer) *cobra.Command {
	var r processRun
	c := &cobra.Command{
		Use:   "process FILE",
		Short: "Measure one real process at sizes that a file gives: memory, CPU time, changes, added latency",
		Long: "Starts this program itself before stand-in servers on loopback, at each size of the file (deploy/lab/process), and measures\n" +
			"what it takes to check, to start, to rest, to be asked and to be changed. Says nothing of a machine that is busy otherwise:\n" +
			"CPU times and memory hold there, latencies don't.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			plan, err := process.ReadPlan(paths[0])
			if err != nil {
				return err
			}
			if err := plan.Select(r.sizes); err != nil {
				return err
			}
			if r.write != "" {
				return writeSizes(out, plan, r.write)
			}
			return r.measure(c.Context(), out, plan, paths[0])
		},
	}
	c.Flags().StringVar(&r.write, "write", "", "only write the files of each size below this `folder`")
	c.Flags().StringVar(&r.out, "out", "", "write the figures to this `file`, as JSON")
	c.Flags().StringSliceVar(&r.sizes, "size", nil, "only these sizes of the file, by `name`")
	c.Flags().DurationVar(&r.limit, "limit", 30*time.Minute, "end after so long, with what has been measured")
	return c
}

// writeSizes writes the files of each size below a folder of its name, and where it has more tenants than the program
// may take, a second folder with the number that is measured with in that case.
func writeSizes(out io.Writer, plan *process.Plan, folder string) error {
	for _, size := range plan.WithFallbacks() {
		g := process.Generator{Size: size, Seed: plan.Seed, Place: process.DefaultPlace()}
		dir := filepath.Join(folder, size.Name)
		if err := g.Write(dir); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: %d services, %d servers each, %d routes, %d tenants\n", dir, size.Services, size.Servers, size.Routes, size.Tenants)
	}
	return nil
}

// measure measures a plan. What was measured before a fault is written all the same.
func (r *processRun) measure(ctx context.Context, out io.Writer, plan *process.Plan, path string) error {
	ctx, cancel := context.WithTimeout(ctx, r.limit)
	defer cancel()
	itself, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "yokestall-process-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	report, err := process.Measure(ctx, plan, dir, []string{itself}, nil, out)
	if err != nil {
		report.Notes = append(report.Notes, "the run ended early: "+strings.ReplaceAll(err.Error(), dir, ""))
	}
	report.Command = "yokestall lab process " + path
	if len(r.sizes) > 0 {
		report.Command += " --size " + strings.Join(r.sizes, ",")
	}
	if r.out == "" {
		return err
	}
	text, encodeErr := report.JSON()
	if encodeErr != nil {
		return errors.Join(err, encodeErr)
	}
	return errors.Join(err, os.WriteFile(r.out, text, 0o644))
}
