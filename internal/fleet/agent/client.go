package agent

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
)

const (
	statusTimeout      = 2 * time.Second // for a voter's status
	statusPollInterval = 20 * time.Millisecond
	// maxChangesPerVersion is how many changes of lists a version may consist of; the next one replaces the lists as a
	// whole.
	maxChangesPerVersion = 64
)

// ErrNoQuorum is returned when fewer than a majority of the voters answer.
var ErrNoQuorum = errors.New("no majority of the voters answers")

// Client is an operator's client of a fleet's voters.
type Client struct {
	voters []Voter
	conns  []*Conn
}

// NewClient creates a client. Its connections are established when they are needed.
func NewClient(fleet string, voters []Voter, with *tls.Config, more ...grpc.DialOption) (*Client, error) {
	c := &Client{voters: voters}
	for _, v := range voters {
		conn, err := Dial(v, with, fleet, more...)
		if err != nil {
			c.Close()
			return nil, err
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

// Close closes the client's connections.
func (c *Client) Close() {
	for _, conn := range c.conns {
		conn.Close()
	}
}

// VoterStatus is a voter's status, or why there is none.
type VoterStatus struct {
	Voter  string  `json:"voter"`
	Status *Status `json:"status,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// Status asks all voters for their status at the same time.
func (c *Client) Status(ctx context.Context) []VoterStatus {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	statuses := make([]VoterStatus, len(c.conns))
	forEachConn(c.conns, func(i int, conn *Conn) {
		statuses[i].Voter = c.voters[i].Name
		s, err := conn.Status(ctx)
		if statuses[i].Status = s; err != nil {
			statuses[i].Error = err.Error()
		}
	})
	return statuses
}

// forEachConn calls do for all connections at the same time and waits for all calls.
func forEachConn(conns []*Conn, do func(i int, c *Conn)) {
	var calls sync.WaitGroup
	for i, c := range conns {
		calls.Go(func() { do(i, c) })
	}
	calls.Wait()
}

// LatestStatus returns the status of the voter that has applied most of the log, if a majority of the voters answers.
func (c *Client) LatestStatus(ctx context.Context) (*Status, error) {
	var latest *Status
	answers := 0
	var lastError string
	for _, a := range c.Status(ctx) {
		if a.Status == nil || !a.Status.Voter {
			lastError = fmt.Sprint(a.Voter, ": ", a.Error)
			continue
		}
		if answers++; latest == nil || a.Status.LogStatus.Index > latest.LogStatus.Index {
			latest = a.Status
		}
	}
	if !c.isQuorum(answers) {
		return nil, fmt.Errorf("%w: %d of %d (%s)", ErrNoQuorum, answers, len(c.conns), lastError)
	}
	return latest, nil
}

func (c *Client) isQuorum(voters int) bool { return voters > len(c.conns)/2 }

// OwnershipToken asks the voter at an index of the client's voters for the fencing token by which it owns a task at
// this moment; 0: it doesn't.
func (c *Client) OwnershipToken(ctx context.Context, voter int, task string) (token uint64, err error) {
	reply, err := call[OwnershipQuery](ctx, c.conns[voter], methodOwnership, OwnershipQuery{Task: task})
	if err != nil {
		return 0, err
	}
	return reply.Token, nil
}

// NewID creates an id for a publish. A publish that is repeated with the same id takes effect once.
func NewID() string {
	b := make([]byte, 16)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// Publish publishes a version that was made from a base. Its content is stored by a majority of the voters before the
// version is proposed, so that no version is lost with a minority. A reply without a number says why; if its Retry is
// set, the same call may succeed later.
func (c *Client) Publish(ctx context.Context, id string, base uint64, list []config.File) (*PublishReply, error) {
	request := PublishRequest{ID: id, Base: base}
	content := map[string][]byte{}
	for _, f := range list {
		h := hash(f.Text)
		content[h] = f.Text
		request.Parts = append(request.Parts, consensus.Part{Name: f.Name, Hash: h, Size: len(f.Text)})
	}
	return c.publish(ctx, request, content)
}

// PublishChange publishes a version that differs from its base in one cluster's list; only the change is sent. Once a
// version consists of maxChangesPerVersion changes, the lists are sent as a whole.
func (c *Client) PublishChange(ctx context.Context, id string, base uint64, change config.File) (*PublishReply, error) {
	patch, err := config.ParseChange(change)
	if err != nil {
		return nil, err
	}
	m, conn, err := c.describe(ctx, base)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", base, err)
	}
	changes := 0
	for _, p := range m.Parts {
		if files.IsChange(p.Name) {
			changes++
		}
	}
	if changes >= maxChangesPerVersion {
		list, err := mergeChanges(ctx, conn, m, change)
		if err != nil {
			return nil, err
		}
		return c.Publish(ctx, id, base, list)
	}
	h := hash(change.Text)
	part := consensus.Part{Name: files.ChangePart(patch.Name, changes), Hash: h, Size: len(change.Text)}
	request := PublishRequest{ID: id, Base: base, Extends: true, Parts: []consensus.Part{part}}
	return c.publish(ctx, request, map[string][]byte{h: change.Text})
}

// describe returns a version's manifest from the first voter that has it, and the connection to that voter.
func (c *Client) describe(ctx context.Context, number uint64) (m *consensus.Manifest, from *Conn, err error) {
	m, err = firstAnswer(ctx, slices.Values(c.conns), statusTimeout, ErrNoQuorum, func(ctx context.Context, conn *Conn) (*consensus.Manifest, error) {
		from = conn
		return conn.Describe(ctx, number)
	})
	return m, from, err
}

// mergeChanges returns the files of a version with its changes, and a further one, applied to the lists.
func mergeChanges(ctx context.Context, conn *Conn, m *consensus.Manifest, change config.File) ([]config.File, error) {
	var list, merged []config.File
	for _, p := range m.Parts {
		data, err := conn.Fetch(ctx, p)
		if err != nil {
			return nil, err
		}
		f := config.File{Name: p.Name, Text: data}
		if list = append(list, f); p.Name == files.ProgramPart {
			merged = append(merged, f)
		}
	}
	s, err := files.Unbundle(append(list, config.File{Name: files.ChangePart("", 0), Text: change.Text}))
	if err != nil {
		return nil, err
	}
	for i, name := range slices.Sorted(maps.Keys(s.Version.Clusters)) {
		merged = append(merged, config.File{Name: fmt.Sprintf("list-%04d.toml", i), Text: config.FormatCluster(s.Version.Clusters[name])})
	}
	return merged, nil
}

// Rollback publishes a version of the history again, as a new one.
func (c *Client) Rollback(ctx context.Context, id string, base, number uint64) (*PublishReply, error) {
	m, _, err := c.describe(ctx, number)
	if err != nil {
		return nil, err
	}
	return c.publish(ctx, PublishRequest{ID: id, Base: base, Parts: m.Parts}, nil)
}

// publish uploads content to a majority of the voters and has one of them publish a version.
func (c *Client) publish(ctx context.Context, request PublishRequest, content map[string][]byte) (*PublishReply, error) {
	errs := c.upload(ctx, content)
	uploaded := 0
	for _, err := range errs {
		if err == nil {
			uploaded++
		}
	}
	if !c.isQuorum(uploaded) {
		return nil, fmt.Errorf("%w: %w", ErrNoQuorum, errors.Join(errs...))
	}
	var last error
	for i, conn := range c.conns {
		if errs[i] != nil {
			continue
		}
		one, stop := context.WithTimeout(ctx, publishTimeout+statusTimeout)
		reply, err := conn.Publish(one, request)
		stop()
		switch {
		case err == nil && (reply.Number > 0 || !reply.Retry):
			return reply, nil
		case status.Code(err) == codes.InvalidArgument: // any voter would refuse it
			return nil, err
		case err == nil:
			err = errors.New(reply.Error)
		}
		last = err
	}
	return &PublishReply{Error: last.Error(), Retry: true}, nil
}

// uploadGrace is how long the other voters have for storing content once a quorum has stored it. What they miss they
// fetch from the others.
const uploadGrace = 250 * time.Millisecond

// uploadResult is what became of storing content at one voter.
type uploadResult struct {
	voter int // its place among the client's connections
	err   error
}

// upload stores content at all voters at the same time and returns their errors. A voter that doesn't answer holds it
// up for no longer than uploadGrace.
func (c *Client) upload(ctx context.Context, content map[string][]byte) []error {
	errs := make([]error, len(c.conns))
	if content == nil {
		return errs
	}
	ctx, stop := context.WithTimeout(ctx, publishTimeout)
	defer stop()
	results := make(chan uploadResult, len(c.conns))
	for voter, conn := range c.conns {
		go func() { results <- uploadResult{voter, conn.Put(ctx, content)} }()
	}
	stored := 0
	for range c.conns {
		r := <-results
		errs[r.voter] = r.err
		if r.err != nil {
			continue
		}
		if stored++; c.isQuorum(stored) {
			grace := time.AfterFunc(uploadGrace, stop)
			defer grace.Stop()
		}
	}
	return errs
}

// PublishOutcome is what became of a version that is in the log.
type PublishOutcome struct {
	InForce       bool     `json:"in_force"`
	RefusalReason string   `json:"refused,omitempty"`
	WaitingFor    []string `json:"waits,omitempty"` // nodes that have neither confirmed nor lost their lease
}

// WaitForVersion waits until a version is in force or refused, and calls progress whenever the outcome so far
// changes. If ctx ends first, it returns the outcome so far and ctx's error.
func (c *Client) WaitForVersion(ctx context.Context, number uint64, progress func(PublishOutcome)) (PublishOutcome, error) {
	var last PublishOutcome
	t := time.NewTicker(statusPollInterval)
	defer t.Stop()
	for {
		if s, err := c.LatestStatus(ctx); err == nil {
			now := s.outcome(number)
			if now.InForce || now.RefusalReason != "" {
				return now, nil
			}
			if fmt.Sprint(now) != fmt.Sprint(last) {
				progress(now)
			}
			last = now
		}
		select {
		case <-ctx.Done():
			return last, ctx.Err()
		case <-t.C:
		}
	}
}

// outcome returns what has become of a version by a voter's status.
func (s *Status) outcome(number uint64) PublishOutcome {
	for i := range s.History {
		if m := &s.History[i]; m.Number == number && m.RefusalReason != "" {
			return PublishOutcome{RefusalReason: m.RefusalReason}
		}
	}
	if s.LogStatus.ActiveVersion >= number && s.LogStatus.PendingVersion != number {
		return PublishOutcome{InForce: true}
	}
	return PublishOutcome{WaitingFor: s.WaitingFor}
}
