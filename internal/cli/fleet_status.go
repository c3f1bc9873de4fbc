package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
)

func (f *fleetCommands) status() *cobra.Command {
	return f.report("status", "Say how each voter sees the fleet: leader, version in force, version that waits, and for whom", func(ctx context.Context, c *agent.Client) error {
		list := c.Status(ctx)
		up := 0
		for _, a := range list {
			if a.Status != nil && a.Status.Voter {
				up++
			}
		}
		err := f.print(list, func() {
			for _, a := range list {
				f.line(a)
			}
		})
		if err == nil && up <= len(list)/2 {
			fmt.Fprintf(f.out, "%d of %d voters answer: no version can come into force, and leases run out\n", up, len(list))
			return ErrReported
		}
		return err
	})
}

// line prints a voter's status.
func (f *fleetCommands) line(a agent.VoterStatus) {
	s := a.Status
	switch {
	case s == nil:
		fmt.Fprintf(f.out, "%-12s does not answer: %s\n", a.Voter, a.Error)
		return
	case !s.Voter && s.VotingError != "":
		fmt.Fprintf(f.out, "%-12s votes no more: %s\n", a.Voter, s.VotingError)
		return
	case !s.Voter:
		fmt.Fprintf(f.out, "%-12s follows: its store was not made by init\n", a.Voter)
		return
	}
	leader := s.Leader
	if leader == "" {
		leader = "none"
	}
	fmt.Fprintf(f.out, "%-12s version %d in force (epoch %d), leader %s in term %d, acts on %v", a.Voter, s.LogStatus.ActiveVersion, s.LogStatus.Epoch, leader, s.Term, s.Applied)
	if s.Disconnected {
		fmt.Fprint(f.out, " alone")
	} else {
		fmt.Fprintf(f.out, " for %d ms", s.LeaseLeftMs)
	}
	if s.LogStatus.PendingVersion != 0 {
		fmt.Fprintf(f.out, "; version %d waits", s.LogStatus.PendingVersion)
		if len(s.WaitingFor) > 0 {
			fmt.Fprintf(f.out, " for %s", strings.Join(s.WaitingFor, ", "))
		}
	}
	fmt.Fprintf(f.out, "; leases: %s\n", strings.Join(s.LeaseHolders, ", "))
}
