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

// Torn, empty, malformed and swapped versions under traffic: each request goes to a
// server of a complete, valid version that was current at its send, within 500 ms.
// YOKESTALL_VERSIONS sets how many are written (1,000).
func TestVersionStorm(t *testing.T) {
	versions := 1000
	if v := os.Getenv("YOKESTALL_VERSIONS"); v != "" {
		fmt.Sscan(v, &versions)
	}
	const boxes, grace = 6, 500 * time.Millisecond
	var all []*appbox.Box
	for i := range boxes {
		all = append(all, testutil.Box(t, fmt.Sprintf("box-%d", i)))
	}
	bait := testutil.Box(t, "bait") // in no complete, valid version
	root := t.TempDir()
	path, dir := filepath.Join(root, "yokestall.toml"), filepath.Join(root, "clusters")
	if err := os.Mkdir(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	text := func(members []*appbox.Box, end string) string {
		var b strings.Builder
		b.WriteString("[cluster]\nname = \"rooms\"\n\n")
		for _, m := range members {
			fmt.Fprintf(&b, "[[endpoint]]\nid = %q\naddress = %q\n\n", m.Name, m.Addr())
		}
		fmt.Fprintf(&b, "[end]\nendpoints = %d\n%s", len(members), end)
		return b.String()
	}
	file := filepath.Join(dir, "rooms.toml")
	put := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	swap := func(text string) {
		if err := os.WriteFile(file+".new", []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+".new", file); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(path, []byte(program), 0o644); err != nil {
		t.Fatal(err)
	}
	swap(text(all, ""))
	watcher, first, err := files.Open(path, testutil.Quiet) // thousands of lines
	if err != nil {
		t.Fatal(err)
	}
	log := &sends{names: map[uint64]string{}}
	for _, b := range append(all, bait) {
		e := at(b)
		log.names[e.Key()] = b.Name
	}
	s := serveWith(t, first, Options{Seed: 1, Log: testutil.Quiet, OnSend: log.note})
	var inForce spans
	members := func(v *cluster.Version) (ids []string) {
		for _, e := range v.Clusters["rooms"].Endpoints {
			ids = append(ids, e.ID)
		}
		return ids
	}
	now := time.Now()
	inForce.taken(members(first.Version), now, now)
	ctx, stop := context.WithCancel(context.Background())
	var run sync.WaitGroup
	taken := 1
	run.Go(func() {
		watcher.Run(ctx, func(v *files.Snapshot) {
			before := time.Now() // a server may be used as soon as the app is told
			if err := s.app.Apply(v); err != nil {
				t.Error(err)
			}
			taken++
			inForce.taken(members(v.Version), before, time.Now()) // it counts as told when Take returned
		})
	})
	var asked, served, other atomic.Int64
	for i := range 8 {
		run.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				asked.Add(1)
				path := []string{"/x", "/pay/x"}[n%2]
				if status, _, _ := s.get(path, fmt.Sprintf("r-%d-%d", i, n)); status == 200 {
					served.Add(1)
				} else {
					other.Add(1)
				}
			}
		})
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	began := time.Now()
	for range versions {
		members := append([]*appbox.Box(nil), all...)
		// One box is away for a second at a time, long enough for a stray to show.
		away := int(time.Since(began)/time.Second) % boxes
		members = append(members[:away], members[away+1:]...)
		rnd.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		members = members[:1+rnd.IntN(len(members))]
		good := text(members, "")
		bad := text(append(members, bait), "")
		switch rnd.IntN(8) {
		case 0, 1, 2:
			swap(good)
		case 3: // half of it, then the whole
			put(bad[:rnd.IntN(len(bad))])
			time.Sleep(time.Millisecond)
			swap(good)
		case 4:
			put("")
		case 5:
			put(text(append(members, bait, bait), ""))
		case 6:
			put(strings.Replace(bad, "address", "adress", 1))
		case 7:
			put(bad[:len(bad)-1-rnd.IntN(30)])
		}
		time.Sleep(time.Duration(rnd.IntN(7)) * time.Millisecond)
	}
	stop()
	run.Wait()
	ran := map[string]int{}
	strays, reached := log.strays(&inForce, grace), 0
	for _, b := range all {
		seen, lost := b.Seen()
		if lost > 0 {
			t.Errorf("%s kept no record of %d", b.Name, lost)
		}
		reached += len(seen)
		for _, x := range seen {
			ran[x.ID]++
		}
	}
	twice := 0
	for _, n := range ran {
		if n > 1 {
			twice++
		}
	}
	if strays != 0 || bait.Count() != 0 {
		t.Errorf("%d of %d requests went astray, %d to a server of no valid version", strays, len(log.list), bait.Count())
	}
	if reached > len(log.list) {
		t.Errorf("%d requests reached a box, %d sends are known", reached, len(log.list))
	}
	if asked.Load() != served.Load()+other.Load() || served.Load() == 0 {
		t.Errorf("%d asked, %d served, %d otherwise", asked.Load(), served.Load(), other.Load())
	}
	t.Logf("%d written, %d taken; %d asked, %d served, %d otherwise; %d reached a server, %d ids more than once",
		versions, taken, asked.Load(), served.Load(), other.Load(), reached, twice)
}
