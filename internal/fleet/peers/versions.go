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

// hasVersion tells whether a version is here, read and checked; where not, it is on its way from then on. n.leaseMu is held.
func (n *Node) hasVersion(number uint64) bool {
	n.versionsMu.Lock()
	defer n.versionsMu.Unlock()
	if n.versions[number] != nil {
		return true
	}
	if number != 0 && !n.fetching[number] && n.rejected[number] == "" {
		n.fetching[number] = true
		n.background.Go(func() { n.fetchVersion(number) })
	}
	return false
}

// fetchVersion brings a version here. One that can't be held is refused, as long as it waits.
func (n *Node) fetchVersion(number uint64) {
	for n.ctx.Err() == nil {
		m, err := n.fetchManifest(n.ctx, number)
		var v *agree.Version
		if err == nil {
			v, err = n.parseVersion(n.ctx, m)
		}
		var can *invalidVersionError
		if err == nil || errors.As(err, &can) {
			n.versionsMu.Lock()
			delete(n.fetching, number)
			if err == nil {
				n.cacheVersion(m, v)
			} else {
				n.rejected[number] = err.Error()
				for old := range n.rejected {
					if old+maxCachedVersions < number {
						delete(n.rejected, old)
					}
				}
			}
			n.versionsMu.Unlock()
			if err != nil {
				n.Log.Error("a version can't be held here", "version", number, "err", err)
				n.reportRefusal(number, err.Error())
			}
			n.handleLeaseReply(nil, nil)
			return
		}
		n.leaseMu.Lock()
		f := n.lease.LogStatus()
		n.leaseMu.Unlock()
		if number != f.ActiveVersion && number != f.PendingVersion { // it is past
			break
		}
		n.sleep(retryDelay)
	}
	n.versionsMu.Lock()
	delete(n.fetching, number)
	n.versionsMu.Unlock()
}

func (n *Node) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.ctx.Done():
	}
}

// cacheVersion keeps a version read; n.heldMu is held, and n.mu is not. The oldest that nothing needs goes.
func (n *Node) cacheVersion(m *agree.Manifest, v *agree.Version) {
	n.versions[m.Number], n.manifests[m.Number] = v, m
	var alive []uint64 // a voter holds a new version against each of them
	if s := n.state(); s != nil {
		alive = s.EpochVersions
	}
	for len(n.versions) > maxCachedVersions+len(alive) {
		oldest := uint64(math.MaxUint64)
		for k := range n.versions {
			if a := n.applied.Load(); (a == nil || k != a.rules.Version && k != a.rules.PendingVersion) && !slices.Contains(alive, k) {
				oldest = min(oldest, k)
			}
		}
		delete(n.versions, oldest)
		delete(n.manifests, oldest)
	}
}

// reportRefusal tells voters that a version that waits can't be held here, until one has it in the log or it waits no more.
func (n *Node) reportRefusal(number uint64, why string) {
	for n.ctx.Err() == nil {
		n.leaseMu.Lock()
		waits := n.lease.LogStatus().PendingVersion == number
		n.leaseMu.Unlock()
		if !waits {
			return
		}
		r := &agree.Refusal{Number: number, Node: n.Name, Reason: why[:min(len(why), maxReason/2)]}
		n.propose(&agree.Entry{Refusal: r})
		for _, c := range n.conns {
			ctx, stop := context.WithTimeout(n.ctx, time.Second)
			call[struct{}](ctx, c, "Refuse", r)
			stop()
		}
		n.sleep(retryDelay)
	}
}

// invalidVersionError is that this node can't hold a version, rather than that it isn't here yet.
type invalidVersionError struct{ error }

func (c *invalidVersionError) Unwrap() error { return c.error }

func (n *Node) fetchManifest(ctx context.Context, number uint64) (*agree.Manifest, error) {
	if s := n.state(); s != nil {
		if m := s.Version(number); m != nil {
			return m, nil
		}
	}
	last := fmt.Errorf("no voter has version %d", number)
	for _, c := range n.conns {
		one, stop := context.WithTimeout(ctx, time.Second)
		m, err := n.describeFrom(one, c, number)
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

// describeFrom asks a voter for a manifest: for what it adds to its base, if that is known here.
func (n *Node) describeFrom(ctx context.Context, c *Conn, number uint64) (*agree.Manifest, error) {
	m, err := call[agree.Manifest](ctx, c, "Describe", DescribeRequest{Number: number, OwnPartsOnly: true})
	if err != nil || !m.Extends {
		return m, err
	}
	n.versionsMu.Lock()
	base := n.manifests[m.Base]
	n.versionsMu.Unlock()
	if base == nil {
		return c.Describe(ctx, number)
	}
	return m, m.Extend(base)
}

// extendBase reads a version from its base, if that is held and nothing but changes of lists were added.
func (n *Node) extendBase(ctx context.Context, m *agree.Manifest) (*agree.Version, error) {
	n.versionsMu.Lock()
	base, known := n.versions[m.Base], n.manifests[m.Base]
	n.versionsMu.Unlock()
	if n.Extend == nil || !m.Extends || base == nil || len(known.Parts)+m.OwnParts != len(m.Parts) {
		return nil, nil
	}
	var changes []config.File
	for _, p := range m.Parts[len(known.Parts):] {
		if !files.IsChange(p.Name) {
			return nil, nil
		}
		data, err := n.fetchContent(ctx, p)
		if err != nil {
			return nil, err
		}
		changes = append(changes, config.File{Name: p.Name, Text: data})
	}
	v, err := n.Extend(base, changes)
	if err != nil {
		return nil, &invalidVersionError{err}
	}
	return v, nil
}

// parseVersion gets a version's content, from here or from voters, and reads it.
func (n *Node) parseVersion(ctx context.Context, m *agree.Manifest) (*agree.Version, error) {
	if v, err := n.extendBase(ctx, m); v != nil || err != nil {
		return v, err
	}
	var list []config.File
	for _, p := range m.Parts {
		data, err := n.fetchContent(ctx, p)
		if err != nil {
			return nil, err
		}
		list = append(list, config.File{Name: p.Name, Text: data})
	}
	// Who publishes a version and who is to act on it want the same at one time: it is read once.
	n.parseMu.Lock()
	defer n.parseMu.Unlock()
	if n.lastParsed != nil && slices.Equal(n.lastParsedParts, m.Parts) {
		return n.lastParsed, nil
	}
	v, err := n.Parse(list)
	if err != nil {
		return nil, &invalidVersionError{err}
	}
	n.lastParsed, n.lastParsedParts = v, m.Parts
	return v, nil
}

func (n *Node) fetchContent(ctx context.Context, p agree.Part) ([]byte, error) {
	if p.Size > config.MaxFile {
		return nil, &invalidVersionError{fmt.Errorf("%s: %d bytes; %d at most", p.Name, p.Size, config.MaxFile)}
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
			if err := n.storeContent(data); err != nil {
				n.Log.Warn("content is not kept here", "file", p.Name, "err", err)
			}
			return data, nil
		}
		last = err
	}
	return nil, last
}

func (n *Node) storeContent(data []byte) error {
	n.mu.Lock()
	n.recentContent[hash(data)] = time.Now()
	n.mu.Unlock()
	return n.store.Put(data)
}

// versionInLog gives a version of the log, read.
func (n *Node) versionInLog(ctx context.Context, s *agree.State, number uint64) (*agree.Version, error) {
	n.versionsMu.Lock()
	v := n.versions[number]
	n.versionsMu.Unlock()
	if v != nil {
		return v, nil
	}
	m := s.Version(number)
	if m == nil {
		return nil, fmt.Errorf("version %d is not in the history", number)
	}
	return n.parseVersion(ctx, m)
}

// reconcile has the program act on what the lease allows, until the node ends.
func (n *Node) reconcile() {
	began := n.Clock()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.wake:
		case <-t.C:
		}
		n.applyOwnership()
		n.leaseMu.Lock()
		now := n.Clock()
		want := n.lease.DesiredRules(now)
		cur := n.applied.Load()
		may := cur != nil && (cur.disconnected || n.lease.Permits(now, cur.rules))
		n.leaseMu.Unlock()
		switch {
		case want.Version != 0 && (cur == nil || cur.disconnected || want != cur.rules):
			n.applyRules(want)
		case !may && cur != nil:
			n.enterDisconnected(cur.rules)
		case cur == nil && now-began > n.Lease.Duration:
			n.startDisconnected()
		}
		next := n.Lease.RenewInterval()
		if a := n.applied.Load(); a != nil && !a.disconnected {
			next = min(next, a.until-n.Clock())
		}
		t.Reset(max(next, time.Millisecond))
	}
}

// applyRules has the program act on rules that the lease allows.
func (n *Node) applyRules(r agree.ActiveRules) {
	n.versionsMu.Lock()
	v, next := n.versions[r.Version], n.versions[r.PendingVersion]
	n.versionsMu.Unlock()
	if v == nil || r.PendingVersion != 0 && next == nil {
		return // it went meanwhile, and comes again
	}
	a := agree.EffectiveVersion{Version: v}
	if r.PendingVersion != 0 {
		a = agree.Stricter(v, next)
		if err := errors.Join(agree.AsStrict(a, v), agree.AsStrict(a, next)); err != nil {
			n.Log.Error("nothing is served in between: the stricter of two versions is laxer than one of them", "rules", r, "err", err)
			for _, c := range a.Program.Classes {
				a.Refused[c.Name] = "the rules change"
			}
		}
	}
	n.leaseMu.Lock()
	cur := n.applied.Load()
	if cur == nil || cur.disconnected { // what it acts on next is bound by the lease from its first moment on
		n.applied.Store(&appliedRules{rules: r, until: n.leaseEnd(r)})
	}
	n.leaseMu.Unlock()
	if err := n.Apply(a); err != nil {
		n.applied.Store(cur) // that is what the program still acts on
		n.versionsMu.Lock()
		n.rejected[max(r.Version, r.PendingVersion)] = err.Error()
		delete(n.versions, max(r.Version, r.PendingVersion))
		n.versionsMu.Unlock()
		n.Log.Error("a version can't be taken", "rules", r, "err", err)
		if r.PendingVersion != 0 {
			n.background.Go(func() { n.reportRefusal(r.PendingVersion, err.Error()) })
		}
		return
	}
	n.leaseMu.Lock()
	n.lease.ConfirmRules(r)
	n.applied.Store(&appliedRules{rules: r, until: n.leaseEnd(r)})
	n.leaseMu.Unlock()
	n.Log.Info("acts on", "rules", r.String(), "epoch", r.Epoch, "boot", int64(BootTime()))
	n.renewLeasesNow() // confirms
	if r.PendingVersion == 0 {
		n.background.Go(func() { n.saveLastVersion(r.Version) })
	}
}

// saveLastVersion keeps a version as the last one for a start without a word from anyone.
func (n *Node) saveLastVersion(number uint64) {
	m, err := n.fetchManifest(n.ctx, number)
	if err == nil {
		err = n.store.SaveLastVersion(m)
	}
	if err != nil && n.ctx.Err() == nil {
		n.Log.Warn("the last version is not kept for a start alone", "version", number, "err", err)
	}
}

// enterDisconnected has the program act on what is cautious without a lease, by the rules that it acted on last.
func (n *Node) enterDisconnected(last agree.ActiveRules) {
	n.versionsMu.Lock()
	v, next := n.versions[last.Version], n.versions[last.PendingVersion]
	n.versionsMu.Unlock()
	switch {
	case v != nil && next != nil:
		n.applyDisconnected(agree.Stricter(v, next), last)
	case v != nil:
		n.applyDisconnected(agree.EffectiveVersion{Version: v}, last)
	}
}

// startDisconnected is enterDisconnected for a node that started and reaches no majority of the voters.
func (n *Node) startDisconnected() {
	m, err := n.store.LastVersion()
	if m == nil || err != nil {
		return
	}
	v, err := n.parseVersion(n.ctx, m)
	if err != nil {
		n.Log.Error("the last version can't be read", "err", err)
		return
	}
	n.versionsMu.Lock()
	n.cacheVersion(m, v)
	n.versionsMu.Unlock()
	n.applyDisconnected(agree.EffectiveVersion{Version: v}, agree.ActiveRules{Version: m.Number})
}

func (n *Node) applyDisconnected(a agree.EffectiveVersion, last agree.ActiveRules) {
	if err := n.Apply(agree.DisconnectedVersion(a, n.Config.Disconnected, time.Now())); err != nil {
		n.Log.Error("nothing is served without a lease", "err", err)
		return
	}
	until := time.Duration(math.MaxInt64)
	if most := n.Config.Disconnected.MaxDuration; most > 0 {
		until = n.Clock() + most
	}
	n.applied.Store(&appliedRules{rules: last, disconnected: true, until: until})
	n.Log.Warn("the lease is over: acts alone", "rules", last.String(), "boot", int64(BootTime()))
}
