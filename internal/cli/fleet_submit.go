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

// submission is what publish and rollback are told.
type submission struct {
	base, id string
	wait     time.Duration
}

func (o *submission) flags(c *cobra.Command) {
	c.Flags().StringVar(&o.base, "base", "", "`number` of the version that it was made from, or present for whatever is in force")
	c.Flags().StringVar(&o.id, "id", "", "of an earlier try, to find out what became of it")
	c.Flags().DurationVar(&o.wait, "wait", 30*time.Second, "until it is in force; 0: don't")
	c.MarkFlagRequired("base")
}

// submitter has a client take up a version under an id, made from a base.
type submitter func(ctx context.Context, c *agent.Client, id string, base uint64) (*agent.PublishReply, error)

// submit has a version taken up and waits for it.
func (f *fleetCommands) submit(ctx context.Context, o submission, do submitter) error {
	return f.with(func(c *agent.Client) error { return f.submitBy(ctx, c, o, do) })
}

func (f *fleetCommands) submitBy(ctx context.Context, c *agent.Client, by submission, do submitter) error {
	id, wait := by.id, by.wait
	at, err := strconv.ParseUint(by.base, 10, 64)
	if by.base == "present" {
		var s *agent.Status
		if s, err = c.LatestStatus(ctx); err == nil {
			at = s.LogStatus.ActiveVersion
		}
	}
	if err != nil {
		return fmt.Errorf("--base: %w", err)
	}
	if id == "" {
		id = agent.NewID()
	}
	p, err := do(ctx, c, id, at)
	if err != nil {
		return err
	}
	r := result{ID: id, PublishReply: p}
	if p.Number > 0 && wait > 0 {
		ctx, stop := context.WithTimeout(ctx, wait)
		defer stop()
		o, err := c.WaitForVersion(ctx, p.Number, func(o agent.PublishOutcome) {
			if !f.json && len(o.WaitingFor) > 0 {
				fmt.Fprintf(f.out, "version %d waits for %s\n", p.Number, strings.Join(o.WaitingFor, ", "))
			}
		})
		if r.PublishOutcome = &o; err != nil && !f.json {
			fmt.Fprintf(f.out, "version %d is not in force after %v; it goes on waiting\n", p.Number, wait)
		}
	}
	if err := f.print(r, func() { f.say(r) }); err != nil {
		return err
	}
	if p.Number == 0 || p.Error != "" || r.PublishOutcome != nil && !r.PublishOutcome.InForce {
		return ErrReported
	}
	return nil
}

func (f *fleetCommands) say(r result) {
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
