package demo

import (
	"log/slog"
	"net"
	"path/filepath"
	"sync"

	"yokestall/internal/config"
	"yokestall/internal/fake/fleet"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
	"yokestall/internal/fleet/lease"
)

// keyedRefused is the value of fleetNode.window while the node rejects requests with idempotency keys.
const keyedRefused = "-"

// fleetNode is a node of the fleet demo.
type fleetNode struct {
	name     string
	node     *agent.Node    // nil before open
	links    []*fleet.Relay // links to the voters
	listener net.Listener   // nil if the node is not a voter

	mu     sync.Mutex
	window string // deduplication window in force, or keyedRefused
}

// open opens the node with a link to each other voter.
func (n *fleetNode) open(dir string, leases lease.Config, voters []agent.VoterAddress) error {
	c := agent.Config{
		Fleet: "demo", Name: n.name, Dir: filepath.Join(dir, n.name), Lease: leases,
		Log: slog.New(slog.DiscardHandler),
		Disconnected: lease.DisconnectedPolicy{
			Idempotency: lease.Cautious, Routes: lease.Cautious, Endpoints: lease.Cautious,
		},
		Parse: parseVersion,
		Apply: n.apply,
	}
	for _, v := range voters {
		if v.Name != n.name {
			link, err := fleet.NewRelay(v.Address)
			if err != nil {
				return err
			}
			n.links = append(n.links, link)
			v.Address = link.Addr
		}
		c.Voters = append(c.Voters, v)
	}
	if n.listener != nil {
		if err := agent.Init(c); err != nil {
			return err
		}
	}
	var err error
	n.node, err = agent.Open(c)
	return err
}

// parseVersion parses the files of a version.
func parseVersion(list []config.File) (*consensus.Version, error) {
	s, err := files.Unbundle(list)
	if err != nil {
		return nil, err
	}
	return &consensus.Version{Program: s.Program, Clusters: s.Version.Clusters}, nil
}

// apply puts a version in force at the node.
func (n *fleetNode) apply(v consensus.EffectiveVersion) error {
	class := &v.Program.Classes[0]
	n.mu.Lock()
	defer n.mu.Unlock()
	n.window = class.DedupWindow.String()
	if v.RejectedClasses[class.Name] != "" {
		n.window = keyedRefused
	}
	return nil
}

// activeWindow returns the deduplication window that the node uses now, or "" if the node may not serve.
func (n *fleetNode) activeWindow() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.node.MayServe() {
		return ""
	}
	return n.window
}

// setLinks sets the state of all links to the voters.
func (n *fleetNode) setLinks(state fleet.Link) {
	for _, l := range n.links {
		l.SetLink(state)
	}
}

// close closes the node and its links.
func (n *fleetNode) close() error {
	for _, l := range n.links {
		l.Close()
	}
	if n.node == nil {
		return nil
	}
	return n.node.Close()
}
