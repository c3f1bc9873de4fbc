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

// Names in the configuration and key files of a run.
const (
	fleetName   = "scale"
	rootsName   = "ca"   // name of the certificate authority
	keyPairName = "node" // name of the certificate and key that all processes share
)

// writeFiles chooses the voters' addresses, writes the files of all processes, and initializes the voters' stores.
func (r *rig) writeFiles(ctx context.Context) error {
	for _, m := range r.members.withRole(VoterRole) {
		address, err := freeAddress(m.proc.Addr)
		if err != nil {
			return err
		}
		r.voters = append(r.voters, agent.VoterAddress{Name: m.name, Address: address})
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
		if err := r.initStore(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// initStore initializes a voter's store with the program's command fleet init.
func (r *rig) initStore(ctx context.Context, m *member) error {
	c := exec.CommandContext(ctx, r.command[0], append(r.command[1:], "fleet", "init", "-c", m.proc.Config())...)
	c.Env = append(os.Environ(), r.env...)
	if text, err := c.CombinedOutput(); err != nil {
		return fmt.Errorf("initializing a voter's store with fleet init: %w: %s", err, text)
	}
	return nil
}

// freeAddress returns an address with a free port on the host of taken, other than taken itself. No process may listen on
// taken yet.
func freeAddress(taken string) (string, error) {
	host, _, err := net.SplitHostPort(taken)
	if err != nil {
		return "", err
	}
	reserved, err := net.Listen("tcp", taken)
	if err != nil {
		return "", err
	}
	defer reserved.Close()
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// makeKeys sets r.keys, and writes to that folder a certificate authority and a certificate with its key for the hosts of
// all voters.
func (r *rig) makeKeys() error {
	authority, err := keymaker.New("the run's authority")
	if err != nil {
		return err
	}
	names := []string{keyPairName}
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
	return authority.Write(r.keys, keyPairName, names...)
}

// programFile returns the configuration file of a process's nodes. number is the process's index in members.
func (r *rig) programFile(m *member, number int) string {
	l := &r.plan.Lease
	var b strings.Builder
	if r.keys != "" {
		fmt.Fprintf(&b, "[keys]\nfolder = %q\n", r.keys)
	}
	b.WriteString(baseConfig(m.proc.Addr, r.nodeCount(), number))
	fmt.Fprintf(&b, "[fleet.agree]\nname = %q\nnode = %q\n", fleetName, m.name)
	fmt.Fprintf(&b, "lease = %q\ndrift = %v\ntake = %q\n", l.Duration, l.MaxClockDrift, l.ApplyTimeout)
	if r.keys != "" {
		fmt.Fprintf(&b, "roots = %q\ncertificate = %q\n", rootsName, keyPairName)
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

// connectOperator creates the operator's client, which publishes versions.
func (r *rig) connectOperator() error {
	var tlsConfig *tls.Config
	if r.keys != "" {
		keys, err := tlskeys.Open(r.keys, keyPairName, slog.New(slog.DiscardHandler))
		if err != nil {
			return err
		}
		tlsConfig = keys.ClientConfig(tlskeys.ServerAuth{Roots: rootsName, Certificate: keyPairName})
	}
	r.meter = NewMeter(r.voters, r.plan.Regions)
	var err error
	dialer := grpc.WithContextDialer(r.meter.Dialer(0))
	r.client, err = agent.NewClient(fleetName, r.voters, tlsConfig, dialer)
	return err
}
