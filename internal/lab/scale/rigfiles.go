package scale

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"google.golang.org/grpc"

	"yokestall/internal/fake/keymaker"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/tlskeys"
)

// fleetName is that of a run's fleet.
const fleetName = "scale"

// The names of the run's keys.
const (
	rootsName = "ca"
	pairName  = "node"
)

// writeFiles writes the processes' files, and makes the voters' stores.
func (r *rig) writeFiles(ctx context.Context) error {
	for _, m := range r.members.withRole(VoterRole) {
		address, err := freeAddress(m.proc.Addr)
		if err != nil {
			return err
		}
		r.voters = append(r.voters, agent.Voter{Name: m.name, Address: address})
	}
	if r.plan.TLS {
		if err := r.makeKeys(); err != nil {
			return err
		}
	}
	for i, m := range r.members {
		if err := os.MkdirAll(filepath.Join(m.proc.Dir, "clusters"), 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(m.proc.Config(), []byte(r.programFile(m, i)), 0o600); err != nil {
			return err
		}
		if m.role != VoterRole {
			continue
		}
		c := exec.CommandContext(ctx, r.command[0], append(r.command[1:], "fleet", "init", "-c", m.proc.Config())...)
		c.Env = append(os.Environ(), r.env...)
		if text, err := c.CombinedOutput(); err != nil {
			return fmt.Errorf("fleet init: %w: %s", err, text)
		}
	}
	return nil
}

// freeAddress gives a free port of a process's own address, other than the one on which it is to listen already.
func freeAddress(taken string) (string, error) {
	host, _, err := net.SplitHostPort(taken)
	if err != nil {
		return "", err
	}
	held, err := net.Listen("tcp", taken) // until the other one is chosen
	if err != nil {
		return "", err
	}
	defer held.Close()
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (r *rig) makeKeys() error {
	authority, err := keymaker.New("the run's authority")
	if err != nil {
		return err
	}
	names := []string{pairName}
	for _, v := range r.voters {
		host, _, err := net.SplitHostPort(v.Address)
		if err != nil {
			return err
		}
		names = append(names, host)
	}
	r.keys = filepath.Join(r.dir, "keys")
	if err := os.MkdirAll(r.keys, 0o700); err != nil {
		return err
	}
	return authority.Write(r.keys, pairName, names...)
}

// programFile is the own programFile of a process's nodes.
func (r *rig) programFile(m *member, number int) string {
	t := &r.plan.Lease
	var b strings.Builder
	if r.keys != "" {
		fmt.Fprintf(&b, "[keys]\nfolder = %q\n", r.keys)
	}
	b.WriteString(baseConfig(m.proc.Addr, r.nodeCount(), number))
	fmt.Fprintf(&b, "[fleet.agree]\nname = %q\nnode = %q\nlease = %q\ndrift = %v\ntake = %q\n", fleetName, m.name, t.Duration, t.MaxClockDrift, t.ApplyTimeout)
	if r.keys != "" {
		fmt.Fprintf(&b, "roots = %q\ncertificate = %q\n", rootsName, pairName)
	}
	b.WriteString("voters = [")
	for _, v := range r.voters {
		fmt.Fprintf(&b, "%q,", v.Name+"="+v.Address)
	}
	b.WriteString("]\n")
	if m.role == VoterRole {
		fmt.Fprintf(&b, "listen = %q\n", r.voters[number].Address)
	}
	b.WriteString(Content{Clusters: 1, Servers: 1, Routes: len(classes)}.policyConfig(firstSettings))
	return b.String()
}

// connectOperator makes the client that publishes.
func (r *rig) connectOperator() error {
	var with *tls.Config
	if r.keys != "" {
		keys, err := tlskeys.Open(r.keys, pairName, slog.New(slog.DiscardHandler))
		if err != nil {
			return err
		}
		with = keys.Client(tlskeys.Servers{Roots: rootsName, Certificate: pairName})
	}
	r.meter = NewMeter(r.voters, r.plan.Regions)
	var err error
	r.client, err = agent.NewClient(fleetName, r.voters, with, grpc.WithContextDialer(r.meter.Dialer(0)))
	return err
}
