package peers

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agree"
)

// Client speaks to a fleet's voters on behalf of an operator.
type Client struct {
	voters []Voter
	conns  []*Conn
}

// NewClient makes a client; connections are made when they are needed.
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

// Close closes its connections.
func (c *Client) Close() {
	for _, conn := range c.conns {
		conn.Close()
	}
}

// askFor is how long a voter has to say how things stand.
const askFor = 2 * time.Second

// Answer is a voter's status, or why there is none.
type Answer struct {
	Voter  string  `json:"voter"`
	Status *Status `json:"status,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// Status asks all voters at once.
func (c *Client) Status(ctx context.Context) []Answer {
	ctx, stop := context.WithTimeout(ctx, askFor)
	defer stop()
	out := make([]Answer, len(c.conns))
	each(c.conns, func(i int, conn *Conn) {
		out[i].Voter = c.voters[i].Name
		s, err := conn.Status(ctx)
		if out[i].Status = s; err != nil {
			out[i].Error = err.Error()
		}
	})
	return out
}

func each(conns []*Conn, do func(i int, c *Conn)) {
	done := make(chan struct{})
	for i, c := range conns {
		go func() {
			do(i, c)
			done <- struct{}{}
		}()
	}
	for range conns {
		<-done
	}
}

// ErrMajority is that too few voters answer.
var ErrMajority = errors.New("no majority of the voters answers")

// Newest gives the status of the voter that has read furthest; an error where less than a majority answers.
func (c *Client) Newest(ctx context.Context) (*Status, error) {
	var newest *Status
	got := 0
	var last string
	for _, a := range c.Status(ctx) {
		if a.Status == nil || !a.Status.Voter {
			last = fmt.Sprint(a.Voter, ": ", a.Error)
			continue
		}
		if got++; newest == nil || a.Status.Facts.Index > newest.Facts.Index {
			newest = a.Status
		}
	}
	if got <= len(c.conns)/2 {
		return nil, fmt.Errorf("%w: %d of %d (%s)", ErrMajority, got, len(c.conns), last)
	}
	return newest, nil
}

// Probe asks a voter, by its place, for the token by which it owns a work at this moment; 0: it doesn't.
func (c *Client) Probe(ctx context.Context, at int, work string) (token uint64, err error) {
	r, err := call[Owned](ctx, c.conns[at], "Owns", Owned{Work: work})
	if err != nil {
		return 0, err
	}
	return r.Token, nil
}

// NewID gives an id for a publish: the same one again is the same publish.
func NewID() string {
	b := make([]byte, 16)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// Publish has a version taken up that was made from another. Its content is at a majority of the voters before it is
// proposed, so that none that is in force can be lost with a minority. An answer without a number says why; with Again the same
// publish may be sent again.
func (c *Client) Publish(ctx context.Context, id string, base uint64, list []config.File) (*Published, error) {
	p := Publish{ID: id, Base: base}
	content := map[string][]byte{}
	for _, f := range list {
		h := hash(f.Text)
		content[h] = f.Text
		p.Parts = append(p.Parts, agree.Part{Name: f.Name, Hash: h, Size: len(f.Text)})
	}
	return c.publish(ctx, p, content)
}

// foldAfter is how many changes of a list a version has at most; the next one takes the list up whole.
const foldAfter = 64

// Change has a version taken up that differs from another in one cluster's list: only the change travels. With foldAfter of them beside
// a list, it is written anew, whole.
func (c *Client) Change(ctx context.Context, id string, base uint64, change config.File) (*Published, error) {
	patch, err := config.ParseChange(change)
	if err != nil {
		return nil, err
	}
	var m *agree.Manifest
	var at *Conn
	for _, conn := range c.conns {
		one, stop := context.WithTimeout(ctx, askFor)
		m, err = conn.Describe(one, base)
		if at = conn; err == nil {
			stop()
			break
		}
		stop()
	}
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", base, err)
	}
	others := 0
	for _, p := range m.Parts {
		if files.IsChange(p.Name) {
			others++
		}
	}
	h := hash(change.Text)
	p := Publish{ID: id, Base: base, Extends: true, Parts: []agree.Part{{Name: files.ChangePart(patch.Name, others), Hash: h, Size: len(change.Text)}}}
	if others < foldAfter {
		return c.publish(ctx, p, map[string][]byte{h: change.Text})
	}
	list, err := fold(ctx, at, m, change)
	if err != nil {
		return nil, err
	}
	return c.Publish(ctx, id, base, list)
}

// fold gives a version's files with a change, and all that came before it, in the lists themselves.
func fold(ctx context.Context, conn *Conn, m *agree.Manifest, change config.File) ([]config.File, error) {
	var list, out []config.File
	for _, p := range m.Parts {
		data, err := conn.Fetch(ctx, p)
		if err != nil {
			return nil, err
		}
		f := config.File{Name: p.Name, Text: data}
		if list = append(list, f); p.Name == files.ProgramPart {
			out = append(out, f)
		}
	}
	s, err := files.Unbundle(append(list, config.File{Name: files.ChangePart("", 0), Text: change.Text}))
	if err != nil {
		return nil, err
	}
	for i, name := range slices.Sorted(maps.Keys(s.Version.Clusters)) {
		out = append(out, config.File{Name: fmt.Sprintf("list-%04d.toml", i), Text: config.FormatCluster(s.Version.Clusters[name])})
	}
	return out, nil
}

// Rollback has a version of the history taken up again, as a new one.
func (c *Client) Rollback(ctx context.Context, id string, base, number uint64) (*Published, error) {
	last := fmt.Errorf("version %d: %w", number, ErrMajority)
	for _, conn := range c.conns {
		one, stop := context.WithTimeout(ctx, askFor)
		m, err := conn.Describe(one, number)
		stop()
		if err != nil {
			last = err
			continue
		}
		return c.publish(ctx, Publish{ID: id, Base: base, Parts: m.Parts}, nil)
	}
	return nil, last
}

func (c *Client) publish(ctx context.Context, p Publish, content map[string][]byte) (*Published, error) {
	errs := make([]error, len(c.conns))
	if content != nil {
		each(c.conns, func(i int, conn *Conn) {
			one, stop := context.WithTimeout(ctx, publishFor)
			defer stop()
			errs[i] = conn.Put(one, content)
		})
	}
	good := 0
	for _, err := range errs {
		if err == nil {
			good++
		}
	}
	if good <= len(c.conns)/2 {
		return nil, fmt.Errorf("%w: %w", ErrMajority, errors.Join(errs...))
	}
	var last error
	for i, conn := range c.conns {
		if errs[i] != nil {
			continue
		}
		one, stop := context.WithTimeout(ctx, publishFor+askFor)
		out, err := conn.Publish(one, p)
		stop()
		if err == nil && (out.Number > 0 || !out.Again) {
			return out, nil
		}
		if status.Code(err) == codes.InvalidArgument {
			return nil, err // it will be no better
		}
		if err == nil {
			err = errors.New(out.Error)
		}
		last = err
	}
	return &Published{Error: last.Error(), Again: true}, nil
}

// Outcome is how a version that was taken up came out.
type Outcome struct {
	InForce bool     `json:"in_force"`
	Refused string   `json:"refused,omitempty"`
	Waits   []string `json:"waits,omitempty"` // nodes that have neither confirmed nor lost their lease
}

// Wait waits until a version is in force or refused, and tells meanwhile who is waited for. When ctx ends first, it
// gives what it knows, with ctx's error.
func (c *Client) Wait(ctx context.Context, number uint64, tell func(Outcome)) (Outcome, error) {
	var last Outcome
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		if s, err := c.Newest(ctx); err == nil {
			now := Outcome{InForce: s.Facts.Number >= number && s.Facts.Pending != number, Waits: s.Waits}
			for i := range s.History {
				if m := &s.History[i]; m.Number == number && m.Refused != "" {
					now.InForce, now.Refused = false, m.Refused
				}
			}
			if now.InForce || now.Refused != "" {
				now.Waits = nil
				return now, nil
			}
			if fmt.Sprint(now) != fmt.Sprint(last) {
				tell(now)
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
