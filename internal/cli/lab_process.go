package cli

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"github.com/spf13/cobra"

	"yokestall/internal/lab/process"
)

// labProcess measures one process of the program at sizes that a file gives.
func labProcess(out io.Writer) *cobra.Command {
	var folder string
	c := &cobra.Command{
		Use:   "process FILE",
		Short: "Measure one real process at sizes that a file gives: memory, CPU time, changes, added latency",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error {
			plan, err := process.ReadPlan(paths[0])
			if err != nil {
				return err
			}
			if folder == "" {
				return errors.New("measuring is not there yet: say --write FOLDER")
			}
			return writeSizes(out, plan, folder)
		},
	}
	c.Flags().StringVar(&folder, "write", "", "only write the files of each size below this `folder`")
	return c
}

// writeSizes writes the files of each size below a folder of its name, and where it has more tenants than the program may take,
// a second folder with the number that is measured with in that case.
func writeSizes(out io.Writer, plan *process.Plan, folder string) error {
	for _, size := range plan.Written() {
		g := process.Generator{Size: size, Seed: plan.Seed, Place: process.DefaultPlace()}
		dir := filepath.Join(folder, size.Name)
		if err := g.Write(dir); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: %d services, %d servers each, %d routes, %d tenants\n", dir, size.Services, size.Servers, size.Routes, size.Tenants)
	}
	return nil
}
