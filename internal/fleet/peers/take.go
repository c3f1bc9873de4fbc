package peers

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agree"
)

// holds tells whether a version is here, read and checked; where not, it is on its way from then on. n.leaseMu is held.
func (n *Node) holds(number uint64) bool {
	n.heldMu.Lock()
	defer n.heldMu.Unlock()
	if n.held[number] != nil {
		return true
	}
	if number != 0 && !n.coming[number] && n.cannot[number] == "" {
		n.coming[number] = true
		n.run.Go(func() { n.get(number) })
	}
	return false
}

// get brings a version here. One that can't be held is refused, as long as it waits.
func (n *Node) get(number uint64) {
	for n.ctx.Err() == nil {
		m, err := n.manifest(n.ctx, number)
		var v *agree.Version
		if err == nil {
			v, err = n.read(n.ctx, m)
		}
		var can *cannot
		if err == nil || errors.As(err, &can) {
			n.heldMu.Lock()
			delete(n.coming, number)
			if err == nil {
				n.keep(m, v)
			} else {
				n.cannot[number] = err.Error()
				for old := range n.cannot {
					if old+heldMost < number {
						delete(n.cannot, old)
					}
				}
			}
			n.heldMu.Unlock()
			if err != nil {
				n.Log.Error("a version can't be held here", "version", number, "err", err)
				n.cry(number, err.Error())
			}
			n.heard(nil, nil)
			return
		}
		n.leaseMu.Lock()
		f := n.lease.Facts()
		n.leaseMu.Unlock()
		if number != f.Number && number != f.Pending { // it is past
			break
		}
		n.pause(retryAfter)
	}
	n.heldMu.Lock()
	delete(n.coming, number)
	n.heldMu.Unlock()
}

func (n *Node) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.ctx.Done():
	}
}

// keep keeps a version read; n.heldMu is held, and n.mu is not. The oldest that nothing needs goes.
func (n *Node) keep(m *agree.Manifest, v *agree.Version) {
	n.held[m.Number], n.known[m.Number] = v, m
	var alive []uint64 // a voter holds a new version against each of them
	if s := n.state(); s != nil {
		alive = s.Alive
	}
	for len(n.held) > heldMost+len(alive) {
		oldest := uint64(math.MaxUint64)
		for k := range n.held {
			if a := n.acting.Load(); (a == nil || k != a.rules.Number && k != a.rules.Pending) && !slices.Contains(alive, k) {
				oldest = min(oldest, k)
			}
		}
		delete(n.held, oldest)
		delete(n.known, oldest)
	}
}

// cry tells voters that a version that waits can't be held here, until one has it in the log or it waits no more.
func (n *Node) cry(number uint64, why string) {
	for n.ctx.Err() == nil {
		n.leaseMu.Lock()
		waits := n.lease.Facts().Pending == number
		n.leaseMu.Unlock()
		if !waits {
			return
		}
		r := &agree.Refuse{Number: number, Node: n.Name, Why: why[:min(len(why), maxReason/2)]}
		n.propose(&agree.Entry{Refuse: r})
		for _, c := range n.conns {
			ctx, stop := context.WithTimeout(n.ctx, time.Second)
			call[struct{}](ctx, c, "Refuse", r)
			stop()
		}
		n.pause(retryAfter)
	}
}

// cannot is that this node can't hold a version, rather than that it isn't here yet.
type cannot struct{ error }

func (c *cannot) Unwrap() error { return c.error }

func (n *Node) manifest(ctx context.Context, number uint64) (*agree.Manifest, error) {
	if s := n.state(); s != nil {
		if m := s.Version(number); m != nil {
			return m, nil
		}
	}
	last := fmt.Errorf("no voter has version %d", number)
	for _, c := range n.conns {
		one, stop := context.WithTimeout(ctx, time.Second)
		m, err := n.describeBy(one, c, number)
		stop()
		if err == nil && m.Number == number {
			return m, m.Check()
		}
		if err != nil {
			last = err
		}
	}
	return nil, last
}

// describeBy asks a voter for a manifest: for what it adds to its base, if that is known here.
func (n *Node) describeBy(ctx context.Context, c *Conn, number uint64) (*agree.Manifest, error) {
	m, err := call[agree.Manifest](ctx, c, "Describe", Number{Number: number, Short: true})
	if err != nil || !m.Extends {
		return m, err
	}
	n.heldMu.Lock()
	base := n.known[m.Base]
	n.heldMu.Unlock()
	if base == nil {
		return c.Describe(ctx, number)
	}
	return m, m.Extend(base)
}

// extend reads a version from its base, if that is held and nothing but changes of lists were added.
func (n *Node) extend(ctx context.Context, m *agree.Manifest) (*agree.Version, error) {
	n.heldMu.Lock()
	base, known := n.held[m.Base], n.known[m.Base]
	n.heldMu.Unlock()
	if n.Extend == nil || !m.Extends || base == nil || len(known.Parts)+m.Own != len(m.Parts) {
		return nil, nil
	}
	var changes []config.File
	for _, p := range m.Parts[len(known.Parts):] {
		if !files.IsChange(p.Name) {
			return nil, nil
		}
		data, err := n.content(ctx, p)
		if err != nil {
			return nil, err
		}
		changes = append(changes, config.File{Name: p.Name, Text: data})
	}
	v, err := n.Extend(base, changes)
	if err != nil {
		return nil, &cannot{err}
	}
	return v, nil
}

// read gets a version's content, from here or from voters, and reads it.
func (n *Node) read(ctx context.Context, m *agree.Manifest) (*agree.Version, error) {
	if v, err := n.extend(ctx, m); v != nil || err != nil {
		return v, err
	}
	var list []config.File
	for _, p := range m.Parts {
		data, err := n.content(ctx, p)
		if err != nil {
			return nil, err
		}
		list = append(list, config.File{Name: p.Name, Text: data})
	}
	// Who publishes a version and who is to act on it want the same at one time: it is read once.
	n.readMu.Lock()
	defer n.readMu.Unlock()
	if n.readLast != nil && slices.Equal(n.readParts, m.Parts) {
		return n.readLast, nil
	}
	v, err := n.Parse(list)
	if err != nil {
		return nil, &cannot{err}
	}
	n.readLast, n.readParts = v, m.Parts
	return v, nil
}

func (n *Node) content(ctx context.Context, p agree.Part) ([]byte, error) {
	if p.Size > config.MaxFile {
		return nil, &cannot{fmt.Errorf("%s: %d bytes; %d at most", p.Name, p.Size, config.MaxFile)}
	}
	data, err := n.store.Get(p.Hash)
	if data != nil {
		return data, nil
	}
	last := fmt.Errorf("%s: no voter has its content", p.Name)
	if err != nil { // a disk that failed ends no service: others have it
		last = err
	}
	for _, c := range n.conns {
		one, stop := context.WithTimeout(ctx, 5*time.Second)
		data, err := c.Fetch(one, p)
		stop()
		if err == nil {
			if err := n.keepContent(data); err != nil {
				n.Log.Warn("content is not kept here", "file", p.Name, "err", err)
			}
			return data, nil
		}
		last = err
	}
	return nil, last
}

func (n *Node) keepContent(data []byte) error {
	n.mu.Lock()
	n.recent[hash(data)] = time.Now()
	n.mu.Unlock()
	return n.store.Put(data)
}

// version gives a version of the log, read.
func (n *Node) version(ctx context.Context, s *agree.State, number uint64) (*agree.Version, error) {
	n.heldMu.Lock()
	v := n.held[number]
	n.heldMu.Unlock()
	if v != nil {
		return v, nil
	}
	m := s.Version(number)
	if m == nil {
		return nil, fmt.Errorf("version %d is not in the history", number)
	}
	return n.read(ctx, m)
}

// takes has the program act on what the lease allows, until the node ends.
func (n *Node) takes() {
	began := n.Clock()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.kick:
		case <-t.C:
		}
		n.takeSet()
		n.leaseMu.Lock()
		now := n.Clock()
		want := n.lease.Want(now)
		cur := n.acting.Load()
		may := cur != nil && (cur.alone || n.lease.May(now, cur.rules))
		n.leaseMu.Unlock()
		switch {
		case want.Number != 0 && (cur == nil || cur.alone || want != cur.rules):
			n.take(want)
		case !may && cur != nil:
			n.goAlone(cur.rules)
		case cur == nil && now-began > n.Terms.Lease:
			n.wakeAlone()
		}
		next := n.Terms.Renew()
		if a := n.acting.Load(); a != nil && !a.alone {
			next = min(next, a.until-n.Clock())
		}
		t.Reset(max(next, time.Millisecond))
	}
}

// take has the program act on rules that the lease allows.
func (n *Node) take(r agree.Rules) {
	n.heldMu.Lock()
	v, next := n.held[r.Number], n.held[r.Pending]
	n.heldMu.Unlock()
	if v == nil || r.Pending != 0 && next == nil {
		return // it went meanwhile, and comes again
	}
	a := agree.Acting{Version: v}
	if r.Pending != 0 {
		a = agree.Stricter(v, next)
		if err := errors.Join(agree.AsStrict(a, v), agree.AsStrict(a, next)); err != nil {
			n.Log.Error("nothing is served in between: the stricter of two versions is laxer than one of them", "rules", r, "err", err)
			for _, c := range a.Program.Classes {
				a.Refused[c.Name] = "the rules change"
			}
		}
	}
	n.leaseMu.Lock()
	cur := n.acting.Load()
	if cur == nil || cur.alone { // what it acts on next is bound by the lease from its first moment on
		n.acting.Store(&acting{rules: r, until: n.until(r)})
	}
	n.leaseMu.Unlock()
	if err := n.Take(a); err != nil {
		n.acting.Store(cur) // that is what the program still acts on
		n.heldMu.Lock()
		n.cannot[max(r.Number, r.Pending)] = err.Error()
		delete(n.held, max(r.Number, r.Pending))
		n.heldMu.Unlock()
		n.Log.Error("a version can't be taken", "rules", r, "err", err)
		if r.Pending != 0 {
			n.run.Go(func() { n.cry(r.Pending, err.Error()) })
		}
		return
	}
	n.leaseMu.Lock()
	n.lease.Took(r)
	n.acting.Store(&acting{rules: r, until: n.until(r)})
	n.leaseMu.Unlock()
	n.Log.Info("acts on", "rules", r.String(), "epoch", r.Epoch, "boot", int64(BootTime()))
	n.acted(r, false)
	n.asks() // confirms
	if r.Pending == 0 {
		n.run.Go(func() { n.remember(r.Number) })
	}
}

// remember keeps a version as the last one for a start without a word from anyone.
func (n *Node) remember(number uint64) {
	m, err := n.manifest(n.ctx, number)
	if err == nil {
		err = n.store.SetLast(m)
	}
	if err != nil && n.ctx.Err() == nil {
		n.Log.Warn("the last version is not kept for a start alone", "version", number, "err", err)
	}
}

// goAlone has the program act on what is cautious without a lease, by the rules that it acted on last.
func (n *Node) goAlone(last agree.Rules) {
	n.heldMu.Lock()
	v, next := n.held[last.Number], n.held[last.Pending]
	n.heldMu.Unlock()
	switch {
	case v != nil && next != nil:
		n.alone(agree.Stricter(v, next), last)
	case v != nil:
		n.alone(agree.Acting{Version: v}, last)
	}
}

// wakeAlone is goAlone for a node that started and reaches no majority of the voters.
func (n *Node) wakeAlone() {
	m, err := n.store.Last()
	if m == nil || err != nil {
		return
	}
	v, err := n.read(n.ctx, m)
	if err != nil {
		n.Log.Error("the last version can't be read", "err", err)
		return
	}
	n.heldMu.Lock()
	n.keep(m, v)
	n.heldMu.Unlock()
	n.alone(agree.Acting{Version: v}, agree.Rules{Number: m.Number})
}

func (n *Node) alone(a agree.Acting, last agree.Rules) {
	if err := n.Take(agree.Alone(a, n.Config.Alone, time.Now())); err != nil {
		n.Log.Error("nothing is served without a lease", "err", err)
		return
	}
	until := time.Duration(math.MaxInt64)
	if most := n.Config.Alone.For; most > 0 {
		until = n.Clock() + most
	}
	n.acting.Store(&acting{rules: last, alone: true, until: until})
	n.acted(last, true)
	n.Log.Warn("the lease is over: acts alone", "rules", last.String(), "boot", int64(BootTime()))
}
