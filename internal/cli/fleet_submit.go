package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
)

// submitTimeout is the default of --wait, the time to wait until a proposed version is in force.
const submitTimeout = 30 * time.Second

// baseInForce is the value of --base that selects the version in force at the time of the command.
const baseInForce = "present"

// submitFlags are the flags of the commands that propose a version.
type submitFlags struct {
	base string        // number of the version that the proposal is based on, or baseInForce
	id   string        // identifies the proposal across tries; "": a new ID is generated
	wait time.Duration // longest wait until the version is in force; 0: the command does not wait
}

// add registers the flags with a command.
func (s *submitFlags) add(c *cobra.Command) {
	flags := c.Flags()
	flags.StringVar(&s.base, "base", "",
		"`number` of the version that it was made from, or present for whatever is in force")
	flags.StringVar(&s.id, "id", "", "of an earlier try, to find out what became of it")
	flags.DurationVar(&s.wait, "wait", submitTimeout, "until it is in force; 0: don't")
	c.MarkFlagRequired("base")
}

// baseVersion returns the version number that --base selects. It asks the fleet if --base is baseInForce.
func (s *submitFlags) baseVersion(ctx context.Context, c *agent.Client) (uint64, error) {
	if s.base != baseInForce {
		number, err := strconv.ParseUint(s.base, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("--base: neither a version number nor \"present\": %w", err)
		}
		return number, nil
	}
	status, err := c.LatestStatus(ctx)
	if err != nil {
		return 0, fmt.Errorf("--base: the version in force can't be read: %w", err)
	}
	return status.LogStatus.ActiveVersion, nil
}

// proposeFunc proposes a version that is based on version base. The id identifies the proposal if it is sent again.
type proposeFunc func(ctx context.Context, c *agent.Client, id string, base uint64) (*agent.PublishReply, error)

// publishResult is the JSON output of the commands that propose a version.
type publishResult struct {
	ID string `json:"id"`
	*agent.PublishReply
	*agent.PublishOutcome // nil: the command did not wait for the version
}

// submit proposes a version, waits until it is in force as --wait says, and prints the result. It returns ErrReported if
// the fleet does not accept the proposal, or if the wait ends without the version in force.
func (f *fleetCommands) submit(ctx context.Context, flags submitFlags, propose proposeFunc) error {
	return f.withClient(func(c *agent.Client) error {
		base, err := flags.baseVersion(ctx, c)
		if err != nil {
			return err
		}
		id := flags.id
		if id == "" {
			id = agent.NewID()
		}
		reply, err := propose(ctx, c, id, base)
		if err != nil {
			return err
		}
		r := publishResult{ID: id, PublishReply: reply}
		if reply.Number > 0 && flags.wait > 0 {
			r.PublishOutcome = f.awaitVersion(ctx, c, reply.Number, flags.wait)
		}
		if err := f.print(r, func() { f.printResult(r) }); err != nil {
			return err
		}
		notInForce := r.PublishOutcome != nil && !r.InForce
		if reply.Number == 0 || reply.Error != "" || notInForce {
			return ErrReported
		}
		return nil
	})
}

// awaitVersion waits until a version is in force or refused, but no longer than wait. It prints which nodes the version
// waits for, unless --json is set.
func (f *fleetCommands) awaitVersion(
	ctx context.Context, c *agent.Client, number uint64, wait time.Duration,
) *agent.PublishOutcome {
	ctx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	outcome, err := c.WaitForVersion(ctx, number, func(o agent.PublishOutcome) {
		if !f.json && len(o.WaitingFor) > 0 {
			fmt.Fprintf(f.out, "version %d waits for %s\n", number, strings.Join(o.WaitingFor, ", "))
		}
	})
	if err != nil && !f.json {
		fmt.Fprintf(f.out, "version %d is not in force after %v; it goes on waiting\n", number, wait)
	}
	return &outcome
}

// printResult prints the result of a proposal as text.
func (f *fleetCommands) printResult(r publishResult) {
	switch {
	case r.Number == 0:
		fmt.Fprintf(f.out, "nothing is published: %s\n", r.Error)
		for _, d := range r.Differences {
			fmt.Fprintf(f.out, "  from the version in force, %d: %s\n", r.ActiveVersion, d)
		}
		if r.Retry {
			fmt.Fprintf(f.out, "try again with --id %s\n", r.ID)
		}
	case r.PublishOutcome != nil && r.RefusalReason != "":
		fmt.Fprintf(f.out, "version %d is refused, and nobody acts on it: %s\n", r.Number, r.RefusalReason)
	case r.PublishOutcome != nil && r.InForce:
		fmt.Fprintf(f.out, "version %d is in force\n", r.Number)
	default:
		fmt.Fprintf(f.out, "version %d is taken up\n", r.Number)
	}
}
