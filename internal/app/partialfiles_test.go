package app

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/files"
	"yokestall/internal/testutil"
)

// Draws of TestPartialFiles and changes of TestManyChanges.
const (
	defaultPartialDraws = 48
	manyChanges         = 1000
	maxPartialPieces    = 6
	maxPartialHold      = 120 * time.Millisecond // longer than several of the drawn polling intervals
	plainPaths          = 6                      // paths that the program answers by itself
	roomsRequests       = 3
	conditionedPath     = "/p2" // has a route with a condition before its plain one
)

// A writer stops at any byte of a file that it writes in place, for good or for a while, while the program serves requests. All
// answers are those of a complete version: the one that was in force, and in the end the new one, which comes by a rename, a
// swapped link, `yokestall seal` or a write in place with a checksum. Guards against a part of a file taken as a version (review/8). The
// environment variables YOKESTALL_DRAWS and YOKESTALL_SEED set the number of draws and the first seed; a draw repeats alone with
// -run TestPartialFiles/seed=N.
func TestPartialFiles(t *testing.T) {
	draws, seed := defaultPartialDraws, uint64(1)
	if v := os.Getenv("YOKESTALL_DRAWS"); v != "" {
		fmt.Sscan(v, &draws)
	}
	if v := os.Getenv("YOKESTALL_SEED"); v != "" {
		fmt.Sscan(v, &seed)
	}
	boxes := startPartialBoxes(t)
	for i := range uint64(draws) {
		t.Run(fmt.Sprintf("seed=%d", seed+i), func(t *testing.T) {
			t.Parallel()
			playPartialDraw(t, rand.New(rand.NewPCG(seed+i, 0)), boxes)
		})
	}
}

// startPartialBoxes starts the servers of two versions of a cluster, of which each gives the name of its version.
func startPartialBoxes(t *testing.T) (boxes [2][]*appbox.Server) {
	for i := range boxes {
		name := fmt.Sprint("box-", i)
		boxes[i] = []*appbox.Server{testutil.StartAppServer(t, name), testutil.StartAppServer(t, name)}
	}
	return boxes
}

// fileVersion is a version of the program's file and of a cluster's file, and the answers that it gives.
type fileVersion struct {
	program, cluster string
	answers          []string // to the requests of partialRig.ask, in their order
}

// newFileVersion returns the version with this number, of a drawn number of routes. All of its answers have its number.
func newFileVersion(random *rand.Rand, number int, poll time.Duration, boxes []*appbox.Server) fileVersion {
	var b strings.Builder
	fmt.Fprintf(&b, "[listen]\naddress = \"127.0.0.1:0\"\n[files]\nclusters = \"clusters\"\nmax_removed_share = 1\npoll = %q\n", poll)
	b.WriteString("[[class]]\nname = \"read\"\neffect = \"safe\"\ndeadline = \"20s\"\naim = \"5s\"\nlate_worth = 1\n[[host]]\n")
	b.WriteString("[[host.route]]\npath = \"/rooms\"\nclass = \"read\"\ncluster = \"rooms\"\n")
	b.WriteString(strings.Repeat("# a comment\n", random.IntN(8)))
	v := fileVersion{}
	for i := range plainPaths {
		path := fmt.Sprintf("/p%d", i)
		if path == conditionedPath {
			fmt.Fprintf(&b, "[[host.route]]\npath = %q\nanswer = { status = 200, text = \"trial-%d\" }\n", path, number)
			b.WriteString("[[host.route.header]]\nname = \"X-Trial\"\nexact = \"1\"\n")
		}
		text := fmt.Sprintf("v%d-%d", number, i)
		fmt.Fprintf(&b, "[[host.route]]\npath = %q\nanswer = { status = 200, text = %q }\n", path, text)
		v.answers = append(v.answers, text)
	}
	v.program = b.String()
	v.answers = append(v.answers, slices.Repeat([]string{boxes[0].Name}, roomsRequests)...)
	v.cluster = "[cluster]\n"
	for i, box := range boxes {
		v.cluster += fmt.Sprintf("[[endpoint]]\nid = \"%s-%d\"\naddress = %q\n", box.Name, i, box.Addr())
	}
	v.cluster += fmt.Sprintf("[end]\nendpoints = %d\n", len(boxes))
	return v
}

// partialRig is an App that follows files which a test writes in part.
type partialRig struct {
	*testApp
	t       *testing.T
	random  *rand.Rand        // of the writers, of which one writes at a time
	program string            // path of the program's file
	cluster string            // path of the cluster's file
	linked  bool              // both are reached by the symbolic link current, to a folder of the version
	rooms   int               // requests at once to the cluster, whose servers take turns
	folders int               // number of folders of versions so far
	former  map[string]string // complete files of the first version, by path
	applied atomic.Int64
	logs    *testutil.Logs
}

// newPartialRig returns a rig with the files of a version, which are not served yet.
func newPartialRig(t *testing.T, random *rand.Rand, linked bool, v fileVersion) *partialRig {
	r := &partialRig{t: t, random: random, linked: linked, rooms: roomsRequests, logs: testutil.NewLogs(t)}
	root := t.TempDir()
	folder := root
	if linked {
		folder = filepath.Join(root, "current")
	}
	r.program, r.cluster = filepath.Join(folder, "yokestall.toml"), filepath.Join(folder, "clusters", "rooms.toml")
	r.former = map[string]string{r.program: v.program, r.cluster: v.cluster}
	if linked {
		r.swapLink(v)
		return r
	}
	r.must(os.Mkdir(filepath.Join(root, "clusters"), 0o755))
	r.rename(r.program, v.program)
	r.rename(r.cluster, v.cluster)
	return r
}

// must reports errors. It may be called on any goroutine.
func (r *partialRig) must(errs ...error) {
	r.t.Helper()
	if err := errors.Join(errs...); err != nil {
		r.t.Error(err)
	}
}

// write starts a writer, which ends before the test, and returns a function that waits for it.
func (r *partialRig) write(writer func()) (wait func()) {
	var running sync.WaitGroup
	running.Go(writer)
	r.t.Cleanup(running.Wait)
	return running.Wait
}

// start serves by the files until the end of the test.
func (r *partialRig) start() {
	r.t.Helper()
	watcher, first, err := files.Open(r.program, r.logs.Logger())
	if err != nil {
		r.t.Fatal(err)
	}
	r.testApp = serveWith(r.t, first, Options{Seed: 1, Log: testutil.DiscardLogger})
	ctx, stop := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() {
		watcher.Run(ctx, func(v *files.Configuration) {
			r.applied.Add(1)
			if err := r.app.Apply(v); err != nil {
				r.t.Error(err)
			}
			r.applied.Add(1)
		})
	})
	r.t.Cleanup(func() { stop(); run.Wait() })
}

// ask returns the answers to requests for all paths, sent at once. It asks again if a version came into force meanwhile.
func (r *partialRig) ask() []string {
	r.t.Helper()
	for {
		before := r.applied.Load()
		answers := make([]string, plainPaths+r.rooms)
		var requests sync.WaitGroup
		for i := range answers {
			requests.Go(func() { answers[i] = r.askFor(i) })
		}
		requests.Wait()
		if before%2 == 0 && r.applied.Load() == before {
			return answers
		}
	}
}

// askFor returns the answer to one of the requests of ask: its text, or its status if that is not 200.
func (r *partialRig) askFor(i int) string {
	path := "/rooms"
	if i < plainPaths {
		path = fmt.Sprintf("/p%d", i)
	}
	status, header, text := r.get(path, "")
	switch {
	case status != 200:
		return fmt.Sprint("status ", status)
	case i < plainPaths:
		return strings.TrimSpace(text)
	}
	return header.Get("X-Box")
}

// has reports whether answers are those of a version.
func (r *partialRig) has(v fileVersion, answers []string) bool {
	return slices.Equal(v.answers[:len(v.answers)-roomsRequests+r.rooms], answers)
}

// watchAnswers asks for a time, and reports answers that are not those of one of the versions.
func (r *partialRig) watchAnswers(what string, hold time.Duration, versions ...fileVersion) {
	r.t.Helper()
	for end := time.Now().Add(hold); ; {
		got := r.ask()
		if !slices.ContainsFunc(versions, func(v fileVersion) bool { return r.has(v, got) }) {
			r.t.Fatalf("%s: the answers are %q, want those of a whole version, the first %q", what, got, versions[0].answers)
		}
		if time.Now().After(end) {
			return
		}
	}
}

// awaitAnswers waits until the answers are those of a version. Until then they have to be those of one of the former ones.
func (r *partialRig) awaitAnswers(what string, next fileVersion, formers ...fileVersion) {
	r.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; {
		got := r.ask()
		if r.has(next, got) {
			return
		}
		if !slices.ContainsFunc(formers, func(v fileVersion) bool { return r.has(v, got) }) {
			r.t.Fatalf("%s: the answers are %q, want those of a whole version", what, got)
		}
		if time.Now().After(end) {
			r.t.Fatalf("%s: the new version did not come into force; log:\n%s", what, r.logs)
		}
	}
}

// rename replaces a file by a rename.
func (r *partialRig) rename(path, text string) {
	r.t.Helper()
	r.must(os.WriteFile(path+".new", []byte(text), 0o644), os.Rename(path+".new", path))
}

// swapLink writes a version to a folder of its own and swaps the link to it.
func (r *partialRig) swapLink(v fileVersion) {
	r.t.Helper()
	r.folders++
	root := filepath.Dir(filepath.Dir(r.program))
	folder := filepath.Join(root, fmt.Sprintf("version-%d", r.folders))
	r.must(os.MkdirAll(filepath.Join(folder, "clusters"), 0o755),
		os.WriteFile(filepath.Join(folder, "yokestall.toml"), []byte(v.program), 0o644),
		os.WriteFile(filepath.Join(folder, "clusters", "rooms.toml"), []byte(v.cluster), 0o644),
		os.Symlink(filepath.Base(folder), filepath.Join(root, "next")),
		os.Rename(filepath.Join(root, "next"), filepath.Join(root, "current")))
}

// writePieces writes a text through a file in several pieces, with pauses.
func (r *partialRig) writePieces(f *os.File, text string) {
	r.t.Helper()
	pieces := 1 + r.random.IntN(maxPartialPieces)
	for i := range pieces {
		_, err := f.WriteString(text[len(text)*i/pieces : len(text)*(i+1)/pieces])
		r.must(err)
		if i < pieces-1 {
			time.Sleep(time.Duration(r.random.IntN(30)) * time.Millisecond)
		}
	}
	r.must(f.Close())
}

// writtenOver is the way that leaves the end of what stood in the file.
const writtenOver = "written over"

// completes reports whether a file has all of a text once its first bytes are overwritten by those of the text, since both end alike.
func (r *partialRig) completes(path, text string, cut int) bool {
	former, err := os.ReadFile(path)
	r.must(err)
	return text[:cut]+string(former[min(cut, len(former)):]) == text
}

// partialWays are ways to write a file in place, so that its first bytes are text and the writer stops there.
var partialWays = []struct {
	name  string
	write func(r *partialRig, path, text string)
}{
	{"truncated and written", func(r *partialRig, path, text string) { r.must(os.WriteFile(path, []byte(text), 0o644)) }},
	{"written in pieces", func(r *partialRig, path, text string) {
		f, err := os.Create(path)
		r.must(err)
		r.writePieces(f, text)
	}},
	{"by a hard link", func(r *partialRig, path, text string) {
		link := filepath.Join(r.t.TempDir(), "link")
		r.must(os.Link(path, link), os.WriteFile(link, []byte(text), 0o644))
		if r.random.IntN(2) == 0 {
			r.must(os.Remove(link))
		}
	}},
	{"removed and created", func(r *partialRig, path, text string) {
		r.must(os.Remove(path))
		if r.random.IntN(2) == 0 {
			time.Sleep(time.Duration(r.random.IntN(30)) * time.Millisecond)
		}
		r.must(os.WriteFile(path, []byte(text), 0o644))
	}},
	{"created and given its mode and times", func(r *partialRig, path, text string) {
		r.must(os.Remove(path), os.WriteFile(path, []byte(text), 0o600), os.Chmod(path, 0o644),
			os.Chtimes(path, time.Now(), time.Now().Add(-time.Hour)))
	}},
	{"renamed, then written", func(r *partialRig, path, text string) {
		r.rename(path, r.former[path])
		r.must(os.WriteFile(path, []byte(text), 0o644))
	}},
	{writtenOver, func(r *partialRig, path, text string) {
		f, err := os.OpenFile(path, os.O_WRONLY, 0)
		r.must(err)
		r.writePieces(f, text)
	}},
	{"appended", func(r *partialRig, path, text string) {
		f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
		r.must(err)
		r.writePieces(f, text)
	}},
}

// playPartialDraw plays one draw of TestPartialFiles.
func playPartialDraw(t *testing.T, random *rand.Rand, boxes [2][]*appbox.Server) {
	poll := time.Duration(10+random.IntN(50)) * time.Millisecond
	plainOld, plainNext := newFileVersion(random, 1, poll, boxes[0]), newFileVersion(random, 2, poll, boxes[1])
	old, next := plainOld, plainNext
	if random.IntN(3) == 0 {
		old = withChecksums(plainOld)
	}
	if random.IntN(3) == 0 {
		next = withChecksums(plainNext)
	}
	r := newPartialRig(t, random, random.IntN(3) == 0, old)
	r.start()
	path, text := r.program, next.program
	if random.IntN(3) == 0 {
		path, text = r.cluster, next.cluster
	}
	want := expectedAfter(path == r.program, old, next)
	formers := []fileVersion{old} // versions that may be in force
	for range 1 + random.IntN(2) {
		way, cut := partialWays[random.IntN(len(partialWays))], drawCut(random, text)
		what := fmt.Sprintf("%s, %d of %d bytes of %s", way.name, cut, len(text), filepath.Base(path))
		hold := time.Duration(random.Int64N(int64(maxPartialHold)))
		all := cut == len(text) || way.name == writtenOver && r.completes(path, text, cut)
		if all {
			formers = []fileVersion{old, want}
		}
		wait := r.write(func() { way.write(r, path, text[:cut]) })
		r.watchAnswers(what, hold, formers...)
		wait()
		r.startInTheMiddle(what, path, old, next)
		r.watchAnswers(what, 4*poll, formers...)
	}
	r.finish(path, text, want, next, formers)
}

// startInTheMiddle starts a second program by the files as they are. If the file that is written has a checksum, the start fails
// unless the file is complete. Without a checksum nothing tells a part from the complete file at a start.
func (r *partialRig) startInTheMiddle(what, path string, versions ...fileVersion) {
	r.t.Helper()
	text, err := os.ReadFile(path)
	r.must(err)
	if !config.HasChecksum(text) {
		return
	}
	watcher, _, err := files.Open(r.program, testutil.DiscardLogger)
	if err != nil {
		return
	}
	watcher.Close()
	for _, v := range versions {
		if string(text) == v.program || string(text) == v.cluster {
			return
		}
	}
	r.t.Errorf("%s: a program starts by a part:\n%s", what, text)
}

// expectedAfter returns the version with the answers after the program's file or the cluster's file became that of next.
func expectedAfter(program bool, old, next fileVersion) fileVersion {
	v := fileVersion{old.program, next.cluster, slices.Concat(old.answers[:plainPaths], next.answers[plainPaths:])}
	if program {
		v = fileVersion{next.program, old.cluster, slices.Concat(next.answers[:plainPaths], old.answers[plainPaths:])}
	}
	return v
}

// drawCut returns the number of bytes of a text that are written: any, or up to the end of any line, or all.
func drawCut(random *rand.Rand, text string) int {
	cut := random.IntN(len(text) + 1)
	if random.IntN(2) == 0 {
		cut = strings.LastIndex(text[:cut], "\n") + 1
	}
	return cut
}

// withChecksums returns a version whose files have checksums.
func withChecksums(v fileVersion) fileVersion {
	seal := func(text string) string { return string(config.AddChecksum([]byte(text))) }
	return fileVersion{seal(v.program), seal(v.cluster), v.answers}
}

// finish puts the new content of a file in place in one of the ways by which it is known to be complete, and waits for it.
func (r *partialRig) finish(path, text string, want, next fileVersion, formers []fileVersion) {
	r.t.Helper()
	switch way := r.random.IntN(4); {
	case way == 0 && r.linked:
		r.swapLink(next)
		r.awaitAnswers("swapped link", next, formers...)
	case way <= 1:
		r.rename(path, text)
		r.awaitAnswers("renamed", want, formers...)
	case way == 2:
		r.must(os.WriteFile(path, []byte(text), 0o644), files.Seal(path))
		r.awaitAnswers("sealed", want, formers...)
	default:
		f, err := os.OpenFile(path, os.O_WRONLY, 0)
		r.must(err)
		sealed := string(config.AddChecksum([]byte(text)))
		wait := r.write(func() {
			r.writePieces(f, sealed)
			r.must(os.Truncate(path, int64(len(sealed))))
		})
		r.awaitAnswers("written over with a checksum", want, formers...)
		wait()
	}
	r.watchAnswers("after the new version", 2*time.Millisecond, want, next)
}

// A thousand changes in a row, by all the ways by which a file is known to be complete, come into force each, and no part of one does.
func TestManyChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	boxes := startPartialBoxes(t)
	version := func(n int) fileVersion { return newFileVersion(random, n, 20*time.Millisecond, boxes[n%2]) }
	former := version(0)
	r := newPartialRig(t, random, true, former)
	r.rooms = 0 // a connection to a server rests between two requests
	r.start()
	for n := 1; n <= manyChanges; n++ {
		next := version(n)
		want := expectedAfter(true, former, next)
		switch random.IntN(5) {
		case 0:
			r.swapLink(next)
			want = next
		case 1:
			r.must(os.WriteFile(r.program, []byte(next.program[:drawCut(random, next.program)]), 0o644))
			r.rename(r.program, next.program)
		case 2:
			r.must(os.WriteFile(r.program, config.AddChecksum([]byte(next.program)), 0o644))
		case 3:
			r.must(os.Remove(r.program), os.WriteFile(r.program, config.AddChecksum([]byte(next.program)), 0o644))
		default:
			r.rename(r.program, next.program)
		}
		r.awaitAnswers(fmt.Sprintf("change %d", n), want, former)
		former = want
	}
}
