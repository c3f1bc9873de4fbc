package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
)

// newPublishCommand returns the `fleet publish` command.
func (f *fleetCommands) newPublishCommand() *cobra.Command {
	var flags submitFlags
	change := false
	c := &cobra.Command{
		Use: "publish FILE",
		Short: "Have the fleet take up a configuration: " +
			"classes, limits, tenants, hosts, [fleet] figures and cluster files",
		Long: "FILE is a program's file with its cluster files; its listeners, keys and paths are not taken. " +
			"--base names the version that it was\n" +
			"made from: if that is not the one in force, nothing is published and the difference is shown. " +
			"The same --id again is the same publish.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			read := publishFiles
			if change {
				read = publishChange
			}
			propose, err := read(cmd.ErrOrStderr(), args[0])
			if err != nil {
				return err
			}
			return f.submit(cmd.Context(), flags, propose)
		},
	}
	flags.add(c)
	c.Flags().BoolVar(&change, "change", false,
		"FILE is a change of one cluster's list: a cluster file with change = true, and removed = [ids]")
	return c
}

// publishFiles reads a configuration file with its cluster files, and returns a function that publishes them as a version. It
// writes to notes which of them have no checksum.
func publishFiles(notes io.Writer, path string) (proposeFunc, error) {
	list, err := files.Bundle(path)
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(notes, files.ProtectionLine(files.BundleProtections(list)))
	return func(ctx context.Context, c *agent.Client, id string, base uint64) (*agent.PublishReply, error) {
		return c.Publish(ctx, id, base, list)
	}, nil
}

// publishChange reads a file with a change of one cluster's endpoint list, and returns a function that publishes the
// change as a version. It writes to notes whether the file has a checksum.
func publishChange(notes io.Writer, path string) (proposeFunc, error) {
	text, err := files.ReadAtRest(path)
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(notes, files.ProtectionLine(files.BundleProtections([]config.File{{Name: path, Text: text}})))
	return func(ctx context.Context, c *agent.Client, id string, base uint64) (*agent.PublishReply, error) {
		return c.PublishChange(ctx, id, base, config.File{Name: path, Text: text})
	}, nil
}
