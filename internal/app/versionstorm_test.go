package app

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/files"
	"yokestall/internal/testutil"
)

// Load of the storms.
const (
	stormBoxes          = 6
	stormClients        = 8 // of TestVersionStorm
	defaultStormWrites  = 1000
	stormWritePause     = 7 * time.Millisecond // at most, after a write, in steps of a millisecond
	stormAwayTime       = time.Second          // of one box after the other, so that a request astray shows
	stormTruncatedBytes = 30                   // at most, of a file that is cut off at its end
)

// Torn, empty, malformed and swapped versions under traffic: each request goes to a
// server of a complete, valid version that was current at its send, within 500 ms.
// YOKESTALL_VERSIONS sets how many are written (1,000).
func TestVersionStorm(t *testing.T) {
	versions := defaultStormWrites
	if v := os.Getenv("YOKESTALL_VERSIONS"); v != "" {
		fmt.Sscan(v, &versions)
	}
	s := newVersionStorm(t)
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { s.watcher.Run(ctx, s.apply) })
	for i := range stormClients {
		tasks.Go(func() { s.load(ctx, i) })
	}
	s.writeVersions(versions)
	stop()
	tasks.Wait()
	s.check(versions)
}

// versionStorm is an app that follows the file of one cluster.
type versionStorm struct {
	*serving
	t       *testing.T
	boxes   []*appbox.Server
	decoy   *appbox.Server // in no complete, valid version
	file    string         // of the cluster
	watcher *files.Watcher
	random  *rand.Rand
	inForce memberships
	sends   *sendLog
	applied int // versions

	requests, served, notServed atomic.Int64
}

// newVersionStorm serves by a first version with all boxes.
func newVersionStorm(t *testing.T) *versionStorm {
	t.Helper()
	s := &versionStorm{t: t, random: rand.New(rand.NewPCG(1, 2)), sends: &sendLog{names: map[uint64]string{}}}
	for i := range stormBoxes {
		s.boxes = append(s.boxes, testutil.StartAppServer(t, fmt.Sprintf("box-%d", i)))
	}
	s.decoy = testutil.StartAppServer(t, "bait")
	root := t.TempDir()
	path, folder := filepath.Join(root, "yokestall.toml"), filepath.Join(root, "clusters")
	if err := os.Mkdir(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	s.file = filepath.Join(folder, "rooms.toml")
	if err := os.WriteFile(path, []byte(program), 0o644); err != nil {
		t.Fatal(err)
	}
	s.swap(roomsFile(s.boxes))
	watcher, first, err := files.Open(path, testutil.DiscardLogger) // thousands of lines
	if err != nil {
		t.Fatal(err)
	}
	s.watcher = watcher
	for _, b := range append(s.boxes, s.decoy) {
		e := endpointOf(b)
		s.sends.names[e.Key()] = b.Name
	}
	s.serving = serveWith(t, first, Options{Seed: 1, Log: testutil.DiscardLogger, OnSend: s.sends.note})
	now := time.Now()
	s.inForce.apply(endpointIDs(first.Version), now, now)
	s.applied = 1
	return s
}

// roomsFile returns the file of the cluster rooms with boxes.
func roomsFile(members []*appbox.Server) string {
	var b strings.Builder
	b.WriteString("[cluster]\nname = \"rooms\"\n\n")
	for _, m := range members {
		fmt.Fprintf(&b, "[[endpoint]]\nid = %q\naddress = %q\n\n", m.Name, m.Addr())
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", len(members))
	return b.String()
}

// endpointIDs returns the endpoints of the cluster rooms.
func endpointIDs(v *cluster.Version) (ids []string) {
	for _, e := range v.Clusters["rooms"].Endpoints {
		ids = append(ids, e.ID)
	}
	return ids
}

// write writes the file in place, so that a part of it can be read.
func (s *versionStorm) write(text string) {
	if err := os.WriteFile(s.file, []byte(text), 0o644); err != nil {
		s.t.Fatal(err)
	}
}

// swap replaces the file by another one.
func (s *versionStorm) swap(text string) {
	if err := os.WriteFile(s.file+".new", []byte(text), 0o644); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(s.file+".new", s.file); err != nil {
		s.t.Fatal(err)
	}
}

// apply applies a version of the files.
func (s *versionStorm) apply(v *files.Configuration) {
	before := time.Now() // a server may get requests as soon as the app has the version
	if err := s.app.Apply(v); err != nil {
		s.t.Error(err)
	}
	s.applied++
	s.inForce.apply(endpointIDs(v.Version), before, time.Now()) // one that it lacks is removed once Apply returned
}

// load sends requests until ctx ends.
func (s *versionStorm) load(ctx context.Context, client int) {
	for n := 0; ctx.Err() == nil; n++ {
		s.requests.Add(1)
		path := []string{"/x", "/pay/x"}[n%2]
		if status, _, _ := s.get(path, fmt.Sprintf("r-%d-%d", client, n)); status == 200 {
			s.served.Add(1)
		} else {
			s.notServed.Add(1)
		}
	}
}

// writeVersions writes files, of which each valid one lacks one box for a second at a time.
func (s *versionStorm) writeVersions(count int) {
	start := time.Now()
	for range count {
		members := append([]*appbox.Server(nil), s.boxes...)
		away := int(time.Since(start)/stormAwayTime) % stormBoxes
		members = append(members[:away], members[away+1:]...)
		s.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		s.writeVersion(members[:1+s.random.IntN(len(members))])
		time.Sleep(time.Duration(s.random.IntN(int(stormWritePause/time.Millisecond))) * time.Millisecond)
	}
}

// writeVersion writes a valid file with boxes, or one that is invalid and has the bait.
func (s *versionStorm) writeVersion(members []*appbox.Server) {
	good := roomsFile(members)
	bad := roomsFile(append(members, s.decoy))
	switch s.random.IntN(8) {
	case 0, 1, 2:
		s.swap(good)
	case 3: // a part of it, then a complete one
		s.write(bad[:s.random.IntN(len(bad))])
		time.Sleep(time.Millisecond)
		s.swap(good)
	case 4:
		s.write("")
	case 5:
		s.write(roomsFile(append(members, s.decoy, s.decoy)))
	case 6:
		s.write(strings.Replace(bad, "address", "adress", 1))
	case 7:
		s.write(bad[:len(bad)-1-s.random.IntN(stormTruncatedBytes)])
	}
}

// check checks where the requests went.
func (s *versionStorm) check(written int) {
	s.t.Helper()
	executions := map[string]int{}
	astray, reached := s.sends.astray(&s.inForce, removalGrace), 0
	for _, b := range s.boxes {
		seen, lost := b.Seen()
		if lost > 0 {
			s.t.Errorf("%s has no record of %d", b.Name, lost)
		}
		reached += len(seen)
		for _, x := range seen {
			executions[x.ID]++
		}
	}
	twice := 0
	for _, n := range executions {
		if n > 1 {
			twice++
		}
	}
	sent, requests, served, notServed := len(s.sends.list), s.requests.Load(), s.served.Load(), s.notServed.Load()
	if astray != 0 || s.decoy.Count() != 0 {
		s.t.Errorf("%d of %d requests went astray, %d to a server of no valid version", astray, sent, s.decoy.Count())
	}
	if reached > sent {
		s.t.Errorf("%d requests reached a box, %d sends are known", reached, sent)
	}
	if requests != served+notServed || served == 0 {
		s.t.Errorf("%d requests, %d served, %d otherwise", requests, served, notServed)
	}
	s.t.Logf("%d written, %d applied; %d requests, %d served, %d otherwise; %d reached a server, %d ids more than once",
		written, s.applied, requests, served, notServed, reached, twice)
}
