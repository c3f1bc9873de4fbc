package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokestall/internal/fleet/agent"
	"yokestall/internal/testutil"
)

// leaderWait is the longest time from the end of a leader until the others have elected one: a few election timeouts of at most
// 0.6 s each, since votes may be split.
const leaderWait = 3 * time.Second

// leadingProcess is the process that leads a fleet.
type leadingProcess struct {
	name    string
	process process
	address string // for clients
}

// findLeader returns the process that leads the fleet.
func (s *fleetSource) findLeader(r *endingRun, client *agent.Client) leadingProcess {
	l := leadingProcess{}
	testutil.Until(r.t, "a leader", func() bool {
		status, err := client.LatestStatus(r.t.Context())
		if err == nil {
			l.name = status.Leader
		}
		return l.name != ""
	})
	pid := r.program.Process.Pid
	l.address = r.names["PLAIN"]
	for i, p := range s.others {
		if voterName(i) == l.name {
			pid, l.address = p.PID(), p.Addr
		}
	}
	l.process = process{pid, statOf(pid)[startField]}
	return l
}

// newClient returns a client of the fleet.
func (s *fleetSource) newClient(r *endingRun) *agent.Client {
	var voters []agent.VoterAddress
	for _, v := range s.voters {
		name, address, _ := strings.Cut(strings.Trim(v, `"`), "=")
		voters = append(voters, agent.VoterAddress{Name: name, Address: strings.ReplaceAll(address, "VOTER", r.names["VOTER"])})
	}
	client, err := agent.NewClient("ending", voters, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(client.Close)
	return client
}

// newLeader returns the leader that another voter than the former leader reports, or "" if there is none yet.
func newLeader(ctx context.Context, client *agent.Client, former string) string {
	for _, s := range client.Status(ctx) {
		if s.Status != nil && s.Status.Node != former && s.Status.Leader != "" && s.Status.Leader != former {
			return s.Status.Leader
		}
	}
	return ""
}

// A leader of a fleet that is told to end leads until its last request has its answer, and the others elect a leader after it.
// Guards against a fleet that waits for a voter which drains.
func TestLeaderEnds(t *testing.T) {
	s := &fleetSource{votes: true}
	r := newEndingRun(t, 1, s)
	client := s.newClient(r)
	leader := s.findLeader(r, client)
	nc, err := net.Dial("tcp", leader.address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	fmt.Fprint(nc, "POST / HTTP/1.1\r\nHost: a\r\n") // the program drains until the head is there
	syscall.Kill(leader.process.pid, syscall.SIGTERM)
	stopped := time.Now()
	r.listed[0].draining = true
	if err := s.tryPublish(r); err != nil {
		t.Errorf("publish while the leader drains: %v", err)
	}
	published := time.Since(stopped)
	if other := newLeader(t.Context(), client, leader.name); other != "" && leader.process.runs() {
		t.Errorf("%s was elected while the leader drains", other)
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		fmt.Fprint(nc, "Content-Length: 0\r\n\r\n")
		io.Copy(io.Discard, nc)
	}()
	testutil.Wait(t, answered, "the answer of the program that drains")
	testutil.Until(t, "the end of the leader", func() bool { return !leader.process.runs() })
	ended := time.Now()
	testutil.Until(t, "a new leader", func() bool { return newLeader(t.Context(), client, leader.name) != "" })
	took := time.Since(ended)
	if took > leaderWait {
		t.Errorf("a new leader %v after the former one has ended, want %v at most", took, leaderWait)
	}
	t.Logf("published after %v, new leader %v after the former one has ended", published, took)
}
