package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/fake/controlplane"
	"yokestall/internal/fake/fleet"
	"yokestall/internal/testutil"
)

// endingSources are the sources of the configuration, by name.
var endingSources = map[string]func() endingSource{
	"files": func() endingSource { return fileSource{} },
	"xDS":   func() endingSource { return &xdsSource{} },
	"fleet": func() endingSource { return &fleetSource{} },
}

// fileSource changes the cluster file, and adds a listener to the program's file meanwhile.
type fileSource struct{}

func (fileSource) settings() string { return "" }

func (fileSource) start(r *endingRun) { r.write("clusters/rooms.toml", r.clusterFile()) }

func (fileSource) serving(*endingRun) {}

func (fileSource) publish(r *endingRun) (told time.Time) {
	r.write("clusters/rooms.toml", r.clusterFile())
	return time.Now().Add(r.poll)
}

func (fileSource) silence(*endingRun) {}

// xdsSource changes the endpoints of a control plane.
type xdsSource struct {
	plane *controlplane.Server
	acks  int // number of acknowledgements before the last change
}

func (s *xdsSource) settings() string {
	return fmt.Sprintf("[xds]\nservers = [%q]\nnode_id = \"ending\"\n", s.plane.Addr())
}

func (s *xdsSource) start(r *endingRun) {
	var err error
	if s.plane, err = controlplane.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(s.plane.Down)
	s.publish(r)
}

func (s *xdsSource) serving(*endingRun) {}

func (s *xdsSource) publish(r *endingRun) (told time.Time) {
	locality := &endpointv3.LocalityLbEndpoints{}
	for _, server := range r.listed {
		locality.LbEndpoints = append(locality.LbEndpoints, xdsEndpoint(server))
	}
	err := s.plane.SetResources(map[string]proto.Message{
		"rooms": &clusterv3.Cluster{
			Name: "rooms", ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		},
	})
	s.acks = len(s.plane.Acks())
	if err == nil {
		err = s.plane.SetResources(map[string]proto.Message{
			"rooms": &endpointv3.ClusterLoadAssignment{
				ClusterName: "rooms", Endpoints: []*endpointv3.LocalityLbEndpoints{locality},
			},
		})
	}
	if err != nil {
		r.t.Fatal(err)
	}
	return time.Now()
}

func (s *xdsSource) silence(r *endingRun) {
	testutil.Until(r.t, "the last change to be sent", func() bool { return len(s.plane.Acks()) > s.acks || r.hasExited() })
	s.plane.Down()
}

// xdsEndpoint returns a server as an endpoint of a load assignment.
func xdsEndpoint(s listedServer) *endpointv3.LbEndpoint {
	host, text, _ := net.SplitHostPort(s.addr)
	port, _ := strconv.Atoi(text)
	health := corev3.HealthStatus_HEALTHY
	if s.draining {
		health = corev3.HealthStatus_DRAINING
	}
	address := &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(port)},
	}}}
	return &endpointv3.LbEndpoint{
		HealthStatus:   health,
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: address}},
	}
}

// fleetVoters is the number of voters of a fleet, not counting the program under test.
const fleetVoters = 3

// fleetSource is a fleet of voters that agrees on the configuration. The program under test follows it, or is one of its
// voters.
type fleetSource struct {
	votes   bool     // the program is always a voter
	voting  bool     // the program is a voter in place of the last one
	voters  []string // names and addresses, in the form of the program's file
	others  []*fleet.Process
	version int // number of versions published
}

// agreement returns the program's settings of a node.
func (s *fleetSource) agreement(node, listen string) string {
	text := fmt.Sprintf("[fleet]\nnodes = 4\nzone = \"a\"\n[fleet.agree]\nname = \"ending\"\nnode = %q\nvoters = [%s]\n",
		node, strings.Join(s.voters, ", "))
	if listen != "" {
		text += fmt.Sprintf("listen = %q\nfolder = \"agree\"\n", listen)
	}
	return text
}

func (s *fleetSource) settings() string {
	if s.voting {
		return s.agreement(voterName(fleetVoters-1), "VOTER")
	}
	return s.agreement("follower", "")
}

func voterName(i int) string { return fmt.Sprint("v", i) }

func (s *fleetSource) start(r *endingRun) {
	s.voting = s.votes || r.random.IntN(2) == 0
	command, env := testutil.SelfCommand()
	for i := range fleetVoters {
		address := r.names["VOTER"]
		if i < fleetVoters-1 || !s.voting {
			p, err := fleet.NewProcess(filepath.Join(r.dir, voterName(i)), append(command, "serve", "-c"), env)
			if err != nil {
				r.t.Fatal(err)
			}
			address = freeAddress(r.t)
			p.Log = filepath.Join(r.dir, voterName(i)+".log")
			s.others = append(s.others, p)
		}
		s.voters = append(s.voters, fmt.Sprintf("%q", voterName(i)+"="+address))
	}
	for i, p := range s.others {
		_, address, _ := strings.Cut(strings.Trim(s.voters[i], `"`), "=")
		r.write(voterName(i)+"/yokestall.toml", agreedProgram(p.Addr, s.agreement(voterName(i), address)))
		r.write(voterName(i)+"/clusters/none", "")
		if err := errors.Join(runCommand("fleet", "init", "-c", p.Config()), p.Start(r.t.Context())); err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(p.Kill)
	}
	if s.voting {
		r.write("yokestall.toml", r.file(""))
		if err := runCommand("fleet", "init", "-c", filepath.Join(r.dir, "yokestall.toml")); err != nil {
			r.t.Fatal(err)
		}
	}
}

// agreedProgram returns a file of a voter, or of a version if agreement is empty.
func agreedProgram(listen, agreement string) string {
	_, rules, _ := strings.Cut(endingConfig, "SOURCE\n")
	return fmt.Sprintf("[listen]\naddress = %q\n[files]\nclusters = \"clusters\"\nmax_removed_share = 1\n%s%s",
		listen, agreement, rules)
}

// runCommand runs a command of the program to its end.
func runCommand(args ...string) error {
	command, env := testutil.SelfCommand()
	program := exec.Command(command[0], args...)
	program.Env = append(os.Environ(), env...)
	if out, err := program.CombinedOutput(); err != nil {
		return fmt.Errorf("%v: %w: %s", args, err, out)
	}
	return nil
}

func (s *fleetSource) serving(r *endingRun) {
	testutil.Until(r.t, "the voters to agree on the first version", func() bool { return s.tryPublish(r) == nil })
}

func (s *fleetSource) publish(r *endingRun) (told time.Time) {
	if err := s.tryPublish(r); err != nil {
		r.failf("%v", err)
	}
	return time.Now()
}

// tryPublish publishes the list, and returns once it is in force at all nodes.
func (s *fleetSource) tryPublish(r *endingRun) error {
	s.version++
	folder := fmt.Sprint("version-", s.version)
	r.write(folder+"/clusters/rooms.toml", r.clusterFile())
	r.write(folder+"/yokestall.toml", agreedProgram("127.0.0.1:1", ""))
	return runCommand("fleet", "publish", "-c", filepath.Join(r.dir, voterName(0), "yokestall.toml"), "--base", "present",
		filepath.Join(r.dir, folder, "yokestall.toml"))
}

// silence stops the other nodes, so that the lease of the program runs out.
func (s *fleetSource) silence(r *endingRun) {
	r.mayRefuse.Store(true)
	for _, p := range s.others {
		if err := p.SetPaused(true); err != nil {
			r.failf("%v", err)
		}
	}
}
