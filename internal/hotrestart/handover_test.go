package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yokestall/internal/adminstate"
	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// process is one of the node's, with its administrative state.
type process struct {
	*Folder
	state adminstate.State
}

func (p *process) Check(c adminstate.Change) (bool, error) {
	return p.state.Differs(c), p.state.Check(c, func(id string) bool { return id != "nobody" })
}
func (p *process) Take(c adminstate.Change)     { p.state.Apply(c) }
func (p *process) Changes() []adminstate.Change { return p.state.Changes() }

func join(t testing.TB, dir string) *process {
	t.Helper()
	f, changes, err := Join(dir, "n0", testutil.Log(t))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{Folder: f}
	for _, c := range changes {
		p.Take(c)
	}
	t.Cleanup(func() { p.Close() })
	return p
}

// kill has a process end as the kernel ends it: its locks go, its files stay.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mine.Close()
	p.lock.Close()
	p.mine = nil
}

// out tells whether a server is out in a process that is followed meanwhile.
func (p *process) out(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Out(id)
}

var clock int64

func (p *process) call(op adminstate.Op, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	clock++
	return p.Commit(ctx, adminstate.Change{Op: op, Server: id, AtMs: clock}, p)
}

// passable gives a listener's socket as it is passed: each call another descriptor, since Listen
// closes the one that it is given.
func passable(t *testing.T) (addr string, pass func() string) {
	l := testutil.Listen(t).(*net.TCPListener)
	file, err := l.File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	fd := int(file.Fd())
	return l.Addr().String(), func() string {
		n, err := syscall.Dup(fd)
		if err != nil {
			t.Fatal(err)
		}
		return strconv.Itoa(n)
	}
}

func TestListen(t *testing.T) {
	addr, pass := passable(t)
	bound := func(kind int) string {
		n, err := syscall.Socket(syscall.AF_INET, kind, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { syscall.Close(n) })
		return strconv.Itoa(n)
	}
	plain, err := os.Create(filepath.Join(t.TempDir(), "x"))
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	for _, c := range []struct{ value, addr, want string }{
		{"three", addr, "not the number"},
		{"1", addr, "not the number"},
		{"-3", addr, "not the number"},
		{"9999", addr, "is not open"},
		{strconv.Itoa(int(plain.Fd())), addr, "is no socket"},
		{bound(syscall.SOCK_DGRAM), addr, "is no TCP socket"},
		{bound(syscall.SOCK_STREAM), addr, "does not listen"},
		{pass(), "127.0.0.2:1", "not at the configured"},
	} {
		l, err := Listen(c.value, c.addr)
		if err == nil {
			l.Close()
			t.Fatalf("%s is taken", c.value)
		}
		if !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), PassedSocket) {
			t.Errorf("%s: %v, want %q", c.value, err, c.want)
		}
	}
	for range 2 { // what is taken serves, and its end leaves the socket open for others
		l, err := Listen(pass(), addr)
		if err != nil {
			t.Fatal(err)
		}
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		got, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		got.Close()
		nc.Close()
		l.Close()
	}
}

// The yes waits until each process that lives has the change in force; one that is dead is not waited for.
func TestYesWaitsForTheOther(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	if err := b.call(adminstate.Detach, "s1"); !errors.Is(err, ErrPeer) {
		t.Errorf("while nobody looks at the record in the other process: %v", err)
	}
	looks := make(chan struct{})
	go func() {
		defer close(looks)
		for !a.out("s2") {
			a.Follow(a)
		}
	}()
	if err := b.call(adminstate.Detach, "s2"); err != nil || !a.out("s2") {
		t.Errorf("%v; out in the other process: %v", err, a.out("s2"))
	}
	testutil.Wait(t, looks, "the change")
	if err := b.call(adminstate.Attach, "nobody"); !errors.Is(err, adminstate.ErrUnknown) {
		t.Errorf("an id that nobody has: %v", err)
	}
	a.kill()
	if err := b.call(adminstate.LameDuck, ""); err != nil {
		t.Errorf("when the other process is dead: %v", err)
	}
}

// Drawn histories of two processes that are asked, killed, replaced and whose record is damaged in
// one copy: what was answered with yes is in force in every process that lives.
func TestNoYesIsForgotten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "")
		if err != nil {
			rt.Fatal(err)
		}
		live := []*process{join(t, dir)}
		defer func() {
			for _, p := range live {
				p.Close()
			}
		}()
		out := map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			p := rapid.SampledFrom(live).Draw(rt, "process")
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				if len(live) < 3 {
					live = append(live, join(t, dir))
				}
			case 1:
				p.kill()
				live = slices.DeleteFunc(live, func(o *process) bool { return o == p })
				if len(live) == 0 {
					live = append(live, join(t, dir))
				}
			case 2: // one copy is cut, or a bit of it flips
				path := filepath.Join(dir, folderName, rapid.SampledFrom(copyNames[:]).Draw(rt, "copy"))
				text, err := os.ReadFile(path)
				if err != nil || len(text) == 0 {
					continue
				}
				at := rapid.IntRange(0, len(text)-1).Draw(rt, "byte")
				if rapid.Bool().Draw(rt, "cut") {
					text = text[:at]
				} else {
					text[at] ^= 1 << rapid.IntRange(0, 7).Draw(rt, "bit")
				}
				os.WriteFile(path, text, 0o600)
				// Some call has to come before the other copy may be damaged as well.
				clock++
				p.commit(context.Background(), adminstate.Change{Op: adminstate.LameDuck, AtMs: clock}, p)
				p.commit(context.Background(), adminstate.Change{Op: adminstate.Rejoin, AtMs: clock}, p)
			default:
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id")
				op := rapid.SampledFrom([]adminstate.Op{adminstate.Detach, adminstate.Attach}).Draw(rt, "op")
				clock++
				if _, err := p.commit(context.Background(), adminstate.Change{Op: op, Server: id, AtMs: clock}, p); err != nil {
					rt.Fatalf("%v %s: %v", op, id, err)
				}
				out[id] = op == adminstate.Detach
			}
			for _, p := range live {
				p.Follow(p)
				for id, want := range out {
					if p.state.Out(id) != want {
						rt.Fatalf("process %d: %s is out: %v, want %v", p.Me().Number, id, !want, want)
					}
				}
			}
		}
	})
}

// The record cut at each byte, and a bit flipped at each byte, of one copy: the start goes on and
// nothing is forgotten. Of both copies alike: the start goes on.
func TestDamagedRecord(t *testing.T) {
	dir := t.TempDir()
	a := join(t, dir)
	for _, id := range []string{"s1", "s2"} {
		if err := a.call(adminstate.Detach, id); err != nil {
			t.Fatal(err)
		}
	}
	a.kill()
	var paths [2]string
	for i, name := range copyNames {
		paths[i] = filepath.Join(dir, folderName, name)
	}
	text, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	if other, err := os.ReadFile(paths[1]); err != nil || string(other) != string(text) {
		t.Fatalf("the copies differ: %q and %q, %v", text, other, err)
	}
	for at := range text {
		for name, bad := range map[string][]byte{
			"cut": text[:at], "flipped": slices.Concat(text[:at], []byte{text[at] ^ 1<<(at%8)}, text[at+1:]),
		} {
			for copies := range 3 { // 2: both
				for i := range paths {
					what := text
					if copies == i || copies == 2 {
						what = bad
					}
					if err := os.WriteFile(paths[i], what, 0o600); err != nil {
						t.Fatal(err)
					}
				}
				b := join(t, dir)
				if got := b.state.OutOfService(); copies < 2 && !slices.Equal(got, []string{"s1", "s2"}) {
					t.Fatalf("copy %d %s at byte %d: %v are out", copies, name, at, got)
				}
				if err := b.call(adminstate.Detach, "s3"); err != nil {
					t.Fatalf("copy %d %s at byte %d: %v", copies, name, at, err)
				}
				b.kill()
				c := join(t, dir)
				if !c.state.Out("s3") {
					t.Fatalf("copy %d %s at byte %d: forgotten after a yes", copies, name, at)
				}
				c.kill()
			}
		}
	}
}

// Where a change can't be put on record it is refused with the cause, and is not in force anywhere.
func TestNoRoom(t *testing.T) {
	dir := t.TempDir()
	a := join(t, dir)
	if err := a.call(adminstate.Detach, "s1"); err != nil {
		t.Fatal(err)
	}
	for fails := range 2 { // at which of the copies
		calls := 0
		a.append = func(path string, line []byte) error {
			if calls++; calls > fails {
				appendTo(path, line[:len(line)/2])
				return syscall.ENOSPC
			}
			return appendTo(path, line)
		}
		if err := a.call(adminstate.Detach, "s2"); !errors.Is(err, syscall.ENOSPC) || a.state.Out("s2") {
			t.Fatalf("copy %d: %v; out %v", fails, err, a.state.Out("s2"))
		}
		a.append = appendTo
		b := join(t, dir)
		if got := b.state.OutOfService(); !slices.Equal(got, []string{"s1"}) {
			t.Errorf("copy %d: %v are out", fails, got)
		}
		b.Close()
	}
	if err := a.call(adminstate.Detach, "s2"); err != nil {
		t.Errorf("once there is room: %v", err)
	}
	// A folder that can't be had.
	blocked := t.TempDir()
	if err := os.WriteFile(filepath.Join(blocked, folderName), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, dir := range []string{"", blocked, filepath.Join(blocked, folderName, "x")} {
		if f, _, err := Join(dir, "n0", testutil.Log(t)); err == nil {
			f.Close()
			t.Errorf("joined in %q", dir)
		}
	}
}

// What is left of another life does not stop the start: another node's record, another version's,
// files of processes that are dead, files that are nobody's.
func TestAnotherLife(t *testing.T) {
	for name, text := range map[string]string{
		"another node": string(formatRecord("n9", []entry{{1, adminstate.Change{Op: adminstate.Detach, Server: "s1", AtMs: 1}}})),
		"a version":    "yokestall-record 2 \"n0\"\n",
		"noise":        "\x00\xff\n\n",
		"huge":         strings.Repeat("x", maxRecord+1),
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			os.Mkdir(filepath.Join(dir, folderName), 0o700)
			for file, what := range map[string]string{
				copyNames[0]: text, copyNames[1]: text, "process-7": "junk", "process-x": "", "knowledge-7": "junk", "other": "",
			} {
				if err := os.WriteFile(filepath.Join(dir, folderName, file), []byte(what), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			p := join(t, dir)
			if p.state.Version() != 0 || p.Me().Number != 8 {
				t.Errorf("state %+v, number %d", p.state, p.Me().Number)
			}
			if peers, err := p.Peers(); err != nil || len(peers) != 0 {
				t.Errorf("peers %v, %v", peers, err)
			}
			if err := p.call(adminstate.Detach, "s1"); err != nil {
				t.Error(err)
			}
		})
	}
}

// The record does not grow without end, and what it says stays.
func TestCompact(t *testing.T) {
	dir := t.TempDir()
	a := join(t, dir)
	var all []entry
	for i := range 6000 {
		op := adminstate.Detach
		if i/5%2 == 1 {
			op = adminstate.Attach
		}
		all = append(all, entry{uint64(i + 1), adminstate.Change{Op: op, Server: fmt.Sprint("s", i%5), AtMs: int64(i + 2)}})
	}
	path := filepath.Join(dir, folderName, copyNames[0])
	for _, name := range copyNames {
		if err := replace(filepath.Join(dir, folderName, name), formatRecord("n0", all)); err != nil {
			t.Fatal(err)
		}
	}
	size := func() int {
		text, err := readAtMost(path, maxRecord)
		if err != nil {
			t.Fatal(err)
		}
		return len(text)
	}
	before := size()
	b := join(t, dir)
	if err := a.Compact(a); err != nil || size() != before {
		t.Fatalf("beside another process: %d bytes of %d, %v", size(), before, err)
	}
	b.Close()
	if err := a.Compact(a); err != nil || size() > before/10 {
		t.Fatalf("%d bytes of %d, %v", size(), before, err)
	}
	if err := a.call(adminstate.Detach, "s8"); err != nil {
		t.Fatal(err)
	}
	if got, want := join(t, dir).state.OutOfService(), a.state.OutOfService(); !slices.Equal(got, want) || len(got) == 0 {
		t.Errorf("%s are out, want %s", got, want)
	}
}

// A socket that was made blocking for all processes does not hold up the end of one.
func TestCloseOfABlockingSocket(t *testing.T) {
	addr, pass := passable(t)
	l, err := Listen(pass(), addr)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := l.(*sharedListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), false) })
	if err != nil {
		t.Fatal(err)
	}
	begun, accepted := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(accepted)
		close(begun)
		if nc, err := l.(*sharedListener).TCPListener.Accept(); err == nil { // past the guard, as one that waited already
			nc.Close()
		}
	}()
	<-begun // whether it has come to the kernel or not, Close has to end
	closed := make(chan struct{})
	go func() { l.Close(); close(closed) }()
	testutil.Wait(t, closed, "the end of Close")
	if nc, err := net.Dial("tcp", addr); err == nil { // lets Accept go
		nc.Close()
	}
	testutil.Wait(t, accepted, "the end of Accept")
}

func TestHold(t *testing.T) {
	const total = 400
	old := func(held int, phase Phase) Presence { return Presence{Number: 1, Phase: phase, Held: held} }
	young := Presence{Number: 2}
	for _, c := range []struct {
		name   string
		own    int
		me     Presence
		peers  []Presence
		hold   int
		yields uint64
		// succeeded: a later one takes the clients
		succeeded bool
	}{
		{"alone", 90, old(90, Serving), nil, total, 0, false},
		{"a later one comes", 90, old(90, Serving), []Presence{young}, 200, 2, false},
		{"and serves", 90, old(90, Serving), []Presence{{Number: 2, Phase: Serving}}, 200, 2, true},
		{"with more than half open", 250, old(250, Serving), []Presence{young}, 250, 2, false},
		{"never more again", 260, Presence{Number: 1, Held: 220, Yields: 2}, []Presence{young}, 220, 2, false},
		{"leaving", 80, Presence{Number: 1, Phase: Leaving, Held: 220, Yields: 2}, []Presence{young}, 80, 2, false},
		{"nearly empty", 3, Presence{Number: 1, Phase: Leaving, Held: 220, Yields: 2}, []Presence{young}, Least, 2, false},
		{"the later one", 20, young, []Presence{old(250, Serving)}, 150, 0, false},
		{"beside a hog", 20, young, []Presence{old(390, Serving)}, Least, 0, false},
		{"the earlier one shrinks", 20, young, []Presence{old(80, Leaving)}, 320, 0, false},
		{"the later one was killed", 90, Presence{Number: 1, Held: 220, Yields: 2}, nil, total, 0, false},
	} {
		if got := Successor(c.me, c.peers); got != c.succeeded {
			t.Errorf("%s: succeeded %v", c.name, got)
		}
		if hold, yields := Hold(total, c.own, c.me, c.peers); hold != c.hold || yields != c.yields {
			t.Errorf("%s: %d, %d; want %d, %d", c.name, hold, yields, c.hold, c.yields)
		}
	}
}

func FuzzRecord(f *testing.F) {
	whole := formatRecord("n0", []entry{{1, adminstate.Change{Op: adminstate.Detach, Server: "s1", AtMs: 5}}, {2, adminstate.Change{Op: adminstate.LameDuck, AtMs: 6}}})
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Fuzz(func(t *testing.T, text []byte) {
		all, err := parseRecord(text, "n0")
		if err == nil && len(text) > 0 && string(formatRecord("n0", all)) != string(text) {
			t.Errorf("%q was read without an error as %+v", text, all)
		}
	})
}

func FuzzPresence(f *testing.F) {
	f.Add(Presence{Number: 3, Phase: Serving, Applied: 7, Held: 100, Yields: 4}.encode())
	f.Fuzz(func(t *testing.T, text []byte) {
		if p, err := parsePresence(text); err == nil && string(p.encode()) != string(text) {
			t.Errorf("%q was read as %+v", text, p)
		}
	})
}
