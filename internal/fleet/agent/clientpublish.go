package agent

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
)

// Publish publishes a version that was made from the version base. A majority of the voters stores the content before
// the version is proposed, so that the loss of a minority of the voters loses no version. If the reply's Number is 0, the
// version was not published and Error says why; if Retry is set, the same call may succeed later.
func (c *Client) Publish(ctx context.Context, id string, base uint64, list []config.File) (*PublishReply, error) {
	request := PublishRequest{ID: id, Base: base}
	content := map[string][]byte{}
	for _, f := range list {
		h := hash(f.Text)
		content[h] = f.Text
		request.Parts = append(request.Parts, consensus.Part{Name: f.Name, Hash: h, SizeBytes: len(f.Text)})
	}
	return c.publish(ctx, request, content)
}

// PublishChange publishes a version that differs from its base in one cluster's endpoint list; only the change is sent.
// If the base already has maxChangesPerVersion changes, all changes are merged and complete lists are sent.
func (c *Client) PublishChange(ctx context.Context, id string, base uint64, change config.File) (*PublishReply, error) {
	patch, err := config.ParseChange(change)
	if err != nil {
		return nil, err
	}
	m, conn, err := c.describe(ctx, base)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", base, err)
	}
	changes := countChanges(m.Parts)
	if changes >= maxChangesPerVersion {
		list, err := mergeChanges(ctx, conn, m, change)
		if err != nil {
			return nil, err
		}
		return c.Publish(ctx, id, base, list)
	}
	h := hash(change.Text)
	part := consensus.Part{Name: files.ChangePart(patch.Name, changes), Hash: h, SizeBytes: len(change.Text)}
	request := PublishRequest{ID: id, Base: base, Extends: true, Parts: []consensus.Part{part}}
	return c.publish(ctx, request, map[string][]byte{h: change.Text})
}

// countChanges returns how many of the parts are changes of endpoint lists.
func countChanges(parts []consensus.Part) (changes int) {
	for _, p := range parts {
		if files.IsChange(p.Name) {
			changes++
		}
	}
	return changes
}

// describe returns a version's manifest from the first voter that has it, and the connection to that voter.
func (c *Client) describe(ctx context.Context, number uint64) (m *consensus.Manifest, from *Conn, err error) {
	request := func(ctx context.Context, conn *Conn) (*consensus.Manifest, error) {
		from = conn
		return conn.Describe(ctx, number)
	}
	m, err = firstAnswer(ctx, slices.Values(c.conns), statusTimeout, ErrNoQuorum, request)
	return m, from, err
}

// mergeChanges returns the files of a version with complete endpoint lists, to which the version's own changes and a
// further change have been applied.
func mergeChanges(
	ctx context.Context, conn *Conn, m *consensus.Manifest, change config.File,
) ([]config.File, error) {
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
		text := config.FormatCluster(s.Version.Clusters[name])
		merged = append(merged, config.File{Name: fmt.Sprintf("list-%04d.toml", i), Text: text})
	}
	return merged, nil
}

// Rollback publishes the content of an earlier version, which must be in the history, as a new version.
func (c *Client) Rollback(ctx context.Context, id string, base, number uint64) (*PublishReply, error) {
	m, _, err := c.describe(ctx, number)
	if err != nil {
		return nil, err
	}
	return c.publish(ctx, PublishRequest{ID: id, Base: base, Parts: m.Parts}, nil)
}

// publish uploads content to a majority of the voters, and then asks those voters one after the other to publish the
// version until one of them gives a final reply. If none does, the reply has the last error and Retry is set.
func (c *Client) publish(
	ctx context.Context, request PublishRequest, content map[string][]byte,
) (*PublishReply, error) {
	errs := c.upload(ctx, content)
	if countSuccesses(errs) < c.quorumSize() {
		return nil, fmt.Errorf("%w: %w", ErrNoQuorum, errors.Join(errs...))
	}
	var lastErr error
	for i, conn := range c.conns {
		if errs[i] != nil {
			continue
		}
		callCtx, stop := context.WithTimeout(ctx, publishTimeout+statusTimeout)
		reply, err := conn.Publish(callCtx, request)
		stop()
		switch {
		case err == nil && (reply.Number > 0 || !reply.Retry):
			return reply, nil
		case status.Code(err) == codes.InvalidArgument: // every voter would reject the request
			return nil, err
		case err == nil:
			err = errors.New(reply.Error)
		}
		lastErr = err
	}
	return &PublishReply{Error: lastErr.Error(), Retry: true}, nil
}

// countSuccesses returns how many of the errors are nil.
func countSuccesses(errs []error) (count int) {
	for _, err := range errs {
		if err == nil {
			count++
		}
	}
	return count
}

// uploadGrace is how long the remaining voters have to store content once a quorum has stored it. A voter that misses
// content fetches it later from another voter.
const uploadGrace = 250 * time.Millisecond

// uploadResult is the result of storing content at one voter.
type uploadResult struct {
	voter int // index of the voter's connection in the client
	err   error
}

// upload stores content at all voters at the same time and returns their errors, nil for those that stored it. Once a
// quorum has stored the content, a voter that does not answer delays upload by no more than uploadGrace.
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
		if stored++; stored >= c.quorumSize() {
			grace := time.AfterFunc(uploadGrace, stop)
			defer grace.Stop()
		}
	}
	return errs
}

// PublishOutcome is the state of a published version.
type PublishOutcome struct {
	InForce       bool     `json:"in_force"`
	RefusalReason string   `json:"refused,omitempty"`
	WaitingFor    []string `json:"waits,omitempty"` // nodes that have neither confirmed nor lost their lease
}

// WaitForVersion waits until a version is in force or refused, and calls progress whenever the state of the publish
// changes before that. If ctx ends first, it returns the latest state and ctx's error.
func (c *Client) WaitForVersion(
	ctx context.Context, number uint64, progress func(PublishOutcome),
) (PublishOutcome, error) {
	var last PublishOutcome
	t := time.NewTicker(statusPollInterval)
	defer t.Stop()
	for {
		if s, err := c.LatestStatus(ctx); err == nil {
			current := s.outcome(number)
			if current.InForce || current.RefusalReason != "" {
				return current, nil
			}
			if fmt.Sprint(current) != fmt.Sprint(last) {
				progress(current)
			}
			last = current
		}
		select {
		case <-ctx.Done():
			return last, ctx.Err()
		case <-t.C:
		}
	}
}

// outcome returns the state of a published version according to a voter's status.
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
