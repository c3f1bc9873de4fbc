package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
)

// newOwnersCommand returns the `fleet owners` command.
func (f *fleetCommands) newOwnersCommand() *cobra.Command {
	return f.newQueryCommand("owners",
		"Say which node does each work on behalf of the fleet, by which token, and for how long its lease lasts",
		f.printOwners)
}

// printOwners prints one line for each task of the fleet.
func (f *fleetCommands) printOwners(ctx context.Context, c *agent.Client) error {
	s, err := c.LatestStatus(ctx)
	if err != nil {
		return err
	}
	tasks := s.Tasks
	for _, v := range c.Status(ctx) {
		addActiveLeases(tasks, v.Status)
	}
	return f.print(tasks, func() {
		for _, task := range tasks {
			f.printOwner(task)
		}
	})
}

// addActiveLeases replaces each task that is owned by the voter with status s by that voter's own entry, since only the
// owner knows how long its lease lasts. A voter that did not answer has no status (nil).
func addActiveLeases(tasks []agent.TaskStatus, s *agent.Status) {
	if s == nil {
		return
	}
	for i := range tasks {
		if i < len(s.Tasks) && s.Tasks[i].Active && s.Tasks[i].Token == tasks[i].Token {
			tasks[i] = s.Tasks[i]
		}
	}
}

// printOwner prints the line of one task.
func (f *fleetCommands) printOwner(t agent.TaskStatus) {
	switch {
	case t.Owner == "":
		fmt.Fprintf(f.out, "%s: nobody; each node has an equal part\n", t.Task)
	case t.NextOwner != "":
		fmt.Fprintf(f.out, "%s: %s by token %d, and %s once that one can't act any more\n",
			t.Task, t.Owner, t.Token, t.NextOwner)
	case t.Active:
		fmt.Fprintf(f.out, "%s: %s by token %d, for %d ms\n", t.Task, t.Owner, t.Token, t.LeaseLeftMs)
	default:
		fmt.Fprintf(f.out, "%s: %s by token %d, without a lease at present\n", t.Task, t.Owner, t.Token)
	}
}
