package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"yokestall/internal/fleet/agent"
)

// newStatusCommand returns the `fleet status` command.
func (f *fleetCommands) newStatusCommand() *cobra.Command {
	return f.newQueryCommand("status",
		"Say how each voter sees the fleet: leader, version in force, version that waits, and for whom",
		f.printStatus)
}

// printStatus prints the status of each voter. It returns ErrReported unless a majority of the voters answer as voters.
func (f *fleetCommands) printStatus(ctx context.Context, c *agent.Client) error {
	list := c.Status(ctx)
	voting := 0
	for _, v := range list {
		if v.Status != nil && v.Status.Voter {
			voting++
		}
	}
	err := f.print(list, func() {
		for _, v := range list {
			f.printVoterStatus(v)
		}
	})
	if err == nil && voting <= len(list)/2 {
		fmt.Fprintf(f.out, "%d of %d voters answer: no version can come into force, and leases run out\n",
			voting, len(list))
		return ErrReported
	}
	return err
}

// printVoterStatus prints the line of one voter.
func (f *fleetCommands) printVoterStatus(v agent.VoterStatus) {
	s := v.Status
	switch {
	case s == nil:
		fmt.Fprintf(f.out, "%-12s does not answer: %s\n", v.Voter, v.Error)
	case !s.Voter && s.VotingError != "":
		fmt.Fprintf(f.out, "%-12s votes no more: %s\n", v.Voter, s.VotingError)
	case !s.Voter:
		fmt.Fprintf(f.out, "%-12s follows: its store was not made by init\n", v.Voter)
	default:
		f.printVotingStatus(v.Voter, s)
	}
}

// printVotingStatus prints the line of a voter that votes: its versions, leader, lease and the lease holders.
func (f *fleetCommands) printVotingStatus(voter string, s *agent.Status) {
	leader := s.Leader
	if leader == "" {
		leader = "none"
	}
	fmt.Fprintf(f.out, "%-12s version %d in force (epoch %d), leader %s in term %d, acts on %v",
		voter, s.LogStatus.ActiveVersion, s.LogStatus.Epoch, leader, s.Term, s.Applied)
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
