package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
	"yokestall/internal/tlskeys"
)

func showFleet(out io.Writer, log *slog.Logger) *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "What the nodes of a fleet agree on: make one, publish versions, see who acts on what",
	}
	f := &fleetCommands{out: out, log: log}
	c.PersistentFlags().StringVarP(&f.config, "config", "c", "", "the `file` of a node, whose [fleet.agree] names the fleet, its voters and the keys")
	c.PersistentFlags().BoolVar(&f.json, "json", false, "print JSON")
	c.AddCommand(fleetDiff(out), f.init(), f.status(), f.publish(), f.rollback(), f.history(), f.voters(), f.owners())
	return c
}

type fleetCommands struct {
	out    io.Writer
	log    *slog.Logger
	config string
	json   bool
}

// of gives what the node's file says.
func (f *fleetCommands) of() (agent.Config, error) {
	if f.config == "" {
		return agent.Config{}, errors.New("-c FILE is missing: the file of a node of the fleet")
	}
	s, err := files.Load(f.config)
	if err != nil {
		return agent.Config{}, err
	}
	if !s.Program.Agree.On() {
		return agent.Config{}, fmt.Errorf("%s: has no [fleet.agree]", f.config)
	}
	var keys *tlskeys.Store
	if k := s.Program.Keys; k.Folder != "" {
		if keys, err = tlskeys.Open(files.Beside(f.config, k.Folder), k.First, f.log); err != nil {
			return agent.Config{}, err
		}
	}
	return fleetConfig(s.Program, f.config, keys, f.log), nil
}

// with runs something with a client of the fleet.
func (f *fleetCommands) with(do func(c *agent.Client) error) error {
	of, err := f.of()
	if err != nil {
		return err
	}
	c, err := agent.NewClient(of.Fleet, of.Voters, of.ClientTLS)
	if err != nil {
		return err
	}
	defer c.Close()
	return do(c)
}

// report makes a command without arguments that asks the fleet for something and prints it.
func (f *fleetCommands) report(use, short string, do func(ctx context.Context, c *agent.Client) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return f.with(func(c *agent.Client) error { return do(cmd.Context(), c) })
	}}
}

// print prints JSON, or as text says.
func (f *fleetCommands) print(v any, text func()) error {
	if !f.json {
		text()
		return nil
	}
	e := json.NewEncoder(f.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (f *fleetCommands) init() *cobra.Command {
	return &cobra.Command{
		Use:   "init",
		Short: "Make this node's store that of a voter of a new fleet, before its first start",
		Long: "Once on each voter, before it is started. A voter whose store was lost must not be made anew by it: it would have forgotten\n" +
			"what it promised. It follows without a vote then.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			of, err := f.of()
			if err != nil {
				return err
			}
			for _, v := range of.Voters {
				if v.Name == of.Name {
					if err := agent.Init(of); err != nil {
						return err
					}
					fmt.Fprintf(f.out, "%s is a voter of the fleet %s\n", of.Name, of.Fleet)
					return nil
				}
			}
			return fmt.Errorf("%s: voters: %s is not among them, and needs no init", f.config, of.Name)
		},
	}
}

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

// result is what a publish prints.
type result struct {
	ID string `json:"id"`
	*agent.PublishReply
	*agent.PublishOutcome
}

func (f *fleetCommands) publish() *cobra.Command {
	var o submission
	change := false
	c := &cobra.Command{
		Use:   "publish FILE",
		Short: "Have the fleet take up a configuration: classes, limits, tenants, hosts, [fleet] figures and cluster files",
		Long: "FILE is a program's file with its cluster files; its listeners, keys and paths are not taken. --base names the version that it was\n" +
			"made from: if that is not the one in force, nothing is published and the difference is shown. The same --id again is the same publish.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if change {
				text, err := os.ReadFile(args[0])
				if err != nil {
					return err
				}
				return f.submit(cmd.Context(), o, func(ctx context.Context, c *agent.Client, id string, base uint64) (*agent.PublishReply, error) {
					return c.PublishChange(ctx, id, base, config.File{Name: args[0], Text: text})
				})
			}
			list, err := files.Bundle(args[0])
			if err != nil {
				return err
			}
			return f.submit(cmd.Context(), o, func(ctx context.Context, c *agent.Client, id string, base uint64) (*agent.PublishReply, error) {
				return c.Publish(ctx, id, base, list)
			})
		},
	}
	o.flags(c)
	c.Flags().BoolVar(&change, "change", false, "FILE is a change of one cluster's list: a cluster file with change = true, and removed = [ids]")
	return c
}

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

func (f *fleetCommands) rollback() *cobra.Command {
	var o submission
	c := &cobra.Command{
		Use:   "rollback NUMBER",
		Short: "Have the fleet take up an earlier version again, as a new one",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return fmt.Errorf("%q is no version's number", args[0])
			}
			return f.submit(cmd.Context(), o, func(ctx context.Context, c *agent.Client, id string, base uint64) (*agent.PublishReply, error) {
				return c.Rollback(ctx, id, base, number)
			})
		},
	}
	o.flags(c)
	return c
}

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

func (f *fleetCommands) history() *cobra.Command {
	return f.report("history", "List the latest versions", func(ctx context.Context, c *agent.Client) error {
		s, err := c.LatestStatus(ctx)
		if err != nil {
			return err
		}
		return f.print(s.History, func() {
			for _, m := range s.History {
				note := ""
				switch {
				case m.RefusalReason != "":
					note = ", refused: " + m.RefusalReason
				case m.Number == s.LogStatus.ActiveVersion:
					note = ", in force"
				case m.Number == s.LogStatus.PendingVersion:
					note = ", waits"
				}
				if m.Contradicts {
					note = ", contradicted what was in force" + note
				}
				fmt.Fprintf(f.out, "%d from %d, by %s, id %s%s\n", m.Number, m.Base, m.Proposer, m.ID, note)
			}
		})
	})
}

func (f *fleetCommands) owners() *cobra.Command {
	return f.report("owners", "Say which node does each work on behalf of the fleet, by which token, and for how long its lease lasts", func(ctx context.Context, c *agent.Client) error {
		s, err := c.LatestStatus(ctx)
		if err != nil {
			return err
		}
		list := s.Tasks
		for _, a := range c.Status(ctx) { // the owner itself knows its lease
			for i := range list {
				if a.Status != nil && i < len(a.Status.Tasks) && a.Status.Tasks[i].Active && a.Status.Tasks[i].Token == list[i].Token {
					list[i] = a.Status.Tasks[i]
				}
			}
		}
		return f.print(list, func() {
			for _, o := range list {
				switch {
				case o.Owner == "":
					fmt.Fprintf(f.out, "%s: nobody; each node has an equal part\n", o.Task)
				case o.NextOwner != "":
					fmt.Fprintf(f.out, "%s: %s by token %d, and %s once that one can't act any more\n", o.Task, o.Owner, o.Token, o.NextOwner)
				case o.Active:
					fmt.Fprintf(f.out, "%s: %s by token %d, for %d ms\n", o.Task, o.Owner, o.Token, o.LeaseLeftMs)
				default:
					fmt.Fprintf(f.out, "%s: %s by token %d, without a lease at present\n", o.Task, o.Owner, o.Token)
				}
			}
		})
	})
}

func (f *fleetCommands) voters() *cobra.Command {
	return f.report("voters", "List the voters and whether each votes", func(ctx context.Context, c *agent.Client) error {
		list := c.Status(ctx)
		return f.print(list, func() {
			for _, a := range list {
				switch {
				case a.Status == nil:
					fmt.Fprintf(f.out, "%s does not answer\n", a.Voter)
				case !a.Status.Voter:
					fmt.Fprintf(f.out, "%s doesn't vote\n", a.Voter)
				case a.Status.Leader == a.Voter:
					fmt.Fprintf(f.out, "%s leads\n", a.Voter)
				default:
					fmt.Fprintf(f.out, "%s votes\n", a.Voter)
				}
			}
		})
	})
}

func fleetDiff(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Say how two configurations differ, and what of it two nodes may not act on at one time",
		Long: "Reads both with their cluster files. Exits with 1 where they contradict: give the new one to all nodes at once, or to none\n" +
			"while another acts on the old one.",
		Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, paths []string) error {
			var both []*consensus.Version
			for _, path := range paths {
				s, err := files.Load(path)
				if err != nil {
					return err
				}
				both = append(both, &consensus.Version{Program: s.Program, Clusters: s.Version.Clusters})
			}
			list, table := consensus.Differences(both[0], both[1]), consensus.Table()
			for _, d := range list {
				if d.Contradicts {
					fmt.Fprintf(out, "CONTRADICTS %v (%s)\n", d, table[d.Kind].Why)
				} else {
					fmt.Fprintf(out, "differs     %v\n", d)
				}
			}
			if consensus.Contradicts(list) {
				return ErrReported
			}
			return nil
		},
	}
}
