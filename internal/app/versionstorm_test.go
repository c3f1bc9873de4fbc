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

// Load of TestVersionStorm and TestXDSStorm.
const (
	stormBoxes          = 6
	stormClients        = 8 // number of clients of TestVersionStorm
	defaultStormWrites  = 1000
	stormWritePause     = 7 * time.Millisecond // maximum random pause after a write, in steps of 1 ms
	stormAwayTime       = time.Second          // time for which each box in turn is removed; exceeds removalGrace
	stormTruncatedBytes = 30                   // maximum number of bytes cut off at the end of a truncated file
)

// Truncated, empty, malformed and replaced files of a cluster are written under traffic. Each attempt must be sent to a
// server of a complete, valid version that was in force at the send or at most 500 ms earlier. The environment variable
// YOKESTALL_VERSIONS sets the number of files that are written; the default is 1000.
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
		tasks.Go(func() { s.sendRequests(ctx, i) })
	}
	s.writeVersions(versions)
	stop()
	tasks.Wait()
	s.check(versions)
}

// versionStorm is a testApp that follows the file of one cluster, with the servers and the results of TestVersionStorm.
type versionStorm struct {
	*testApp
	t       *testing.T
	boxes   []*appbox.Server
	decoy   *appbox.Server // box that is only in incomplete or invalid versions
	file    string         // path of the cluster's file
	watcher *files.Watcher
	random  *rand.Rand
	inForce memberships
	sends   *sendLog
	applied int // number of versions that were applied

	requests, served, notServed atomic.Int64
}

// newVersionStorm starts a versionStorm with a first version that contains all boxes except the decoy.
func newVersionStorm(t *testing.T) *versionStorm {
	t.Helper()
	s := &versionStorm{t: t, random: rand.New(rand.NewPCG(1, 2)), sends: &sendLog{names: map[uint64]string{}}}
	for i := range stormBoxes {
		s.boxes = append(s.boxes, testutil.StartAppServer(t, fmt.Sprintf("box-%d", i)))
	}
	s.decoy = testutil.StartAppServer(t, "decoy")
	root := t.TempDir()
	path, folder := filepath.Join(root, "yokestall.toml"), filepath.Join(root, "clusters")
	if err := os.Mkdir(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	s.file = filepath.Join(folder, "rooms.toml")
	if err := os.WriteFile(path, []byte(program), 0o644); err != nil {
		t.Fatal(err)
	}
	s.replaceFile(roomsFile(s.boxes))
	watcher, first, err := files.Open(path, testutil.DiscardLogger) // the watcher would log thousands of lines
	if err != nil {
		t.Fatal(err)
	}
	s.watcher = watcher
	for _, b := range append(s.boxes, s.decoy) {
		e := endpointOf(b)
		s.sends.names[e.Key()] = b.Name
	}
	s.testApp = serveWith(t, first, Options{Seed: 1, Log: testutil.DiscardLogger, OnSend: s.sends.record})
	now := time.Now()
	s.inForce.update(endpointIDs(first.Version), now, now)
	s.applied = 1
	return s
}

// roomsFile returns the content of the file of the cluster rooms with these boxes.
func roomsFile(members []*appbox.Server) string {
	var b strings.Builder
	b.WriteString("[cluster]\nname = \"rooms\"\n\n")
	for _, m := range members {
		fmt.Fprintf(&b, "[[endpoint]]\nid = %q\naddress = %q\n\n", m.Name, m.Addr())
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", len(members))
	return b.String()
}

// endpointIDs returns the IDs of the endpoints of the cluster rooms.
func endpointIDs(v *cluster.Version) (ids []string) {
	for _, e := range v.Clusters["rooms"].Endpoints {
		ids = append(ids, e.ID)
	}
	return ids
}

// writeInPlace overwrites the cluster's file, so that a reader may see a part of the new content.
func (s *versionStorm) writeInPlace(text string) {
	if err := os.WriteFile(s.file, []byte(text), 0o644); err != nil {
		s.t.Fatal(err)
	}
}

// replaceFile replaces the cluster's file atomically.
func (s *versionStorm) replaceFile(text string) {
	if err := os.WriteFile(s.file+".new", []byte(text), 0o644); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(s.file+".new", s.file); err != nil {
		s.t.Fatal(err)
	}
}

// apply applies a version of the files.
func (s *versionStorm) apply(v *files.Configuration) {
	before := time.Now() // a new server may get requests as soon as Apply has begun
	if err := s.app.Apply(v); err != nil {
		s.t.Error(err)
	}
	s.applied++
	s.inForce.update(endpointIDs(v.Version), before, time.Now()) // servers are removed once Apply has returned
}

// sendRequests sends the requests of one client until ctx ends.
func (s *versionStorm) sendRequests(ctx context.Context, client int) {
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

// writeVersions writes count files with pauses. All valid files of a period of stormAwayTime lack the same box; in the next
// period they lack the next box.
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

// writeVersion writes a valid file with these boxes, or an incomplete or invalid file that includes the decoy or is empty.
func (s *versionStorm) writeVersion(members []*appbox.Server) {
	good := roomsFile(members)
	bad := roomsFile(append(members, s.decoy))
	switch s.random.IntN(8) {
	case 0, 1, 2:
		s.replaceFile(good)
	case 3: // a part of a file, then a complete valid file
		s.writeInPlace(bad[:s.random.IntN(len(bad))])
		time.Sleep(time.Millisecond)
		s.replaceFile(good)
	case 4:
		s.writeInPlace("")
	case 5:
		s.writeInPlace(roomsFile(append(members, s.decoy, s.decoy)))
	case 6:
		s.writeInPlace(strings.Replace(bad, "address", "adress", 1))
	case 7:
		s.writeInPlace(bad[:len(bad)-1-s.random.IntN(stormTruncatedBytes)])
	}
}

// check checks the servers to which attempts were sent and the outcomes of the requests.
func (s *versionStorm) check(written int) {
	s.t.Helper()
	executions := map[string]int{}
	misrouted, reached := s.sends.countMisrouted(&s.inForce, removalGrace), 0
	for _, b := range s.boxes {
		seen, lost := b.Seen()
		if lost > 0 {
			s.t.Errorf("%s has no record of %d requests that it received", b.Name, lost)
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
	if misrouted != 0 || s.decoy.Count() != 0 {
		s.t.Errorf("%d of %d attempts were sent to a server outside the versions in force, and %d reached the decoy; want none",
			misrouted, sent, s.decoy.Count())
	}
	if reached > sent {
		s.t.Errorf("%d attempts reached a box, but only %d were recorded when they were sent", reached, sent)
	}
	if requests != served+notServed || served == 0 {
		s.t.Errorf("%d requests, %d served, %d not served; want some served and the sum to match", requests, served, notServed)
	}
	s.t.Logf("%d files written, %d versions applied; %d requests, %d served, %d not served; "+
		"%d attempts reached a box, %d request ids more than once",
		written, s.applied, requests, served, notServed, reached, twice)
}
