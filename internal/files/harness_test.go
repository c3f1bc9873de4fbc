package files

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"yokestall/internal/config"
	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// program is the text of a valid program's file with one route, to the cluster rooms.
const program = `[listen]

address = "127.0.0.1:0"
[files]
clusters = "clusters"
poll = "20ms"
[[class]]
name = "read"
effect = "safe"
deadline = "1s"
[[host]]
[[host.route]]
prefix = "/"
class = "read"
cluster = "rooms"
`

// clusterText returns the text of a cluster file whose endpoints have these ports. head is added to [cluster].
func clusterText(head string, ports ...int) string {
	var b strings.Builder
	b.WriteString("[cluster]\n" + head)
	for _, p := range ports {
		fmt.Fprintf(&b, "[[endpoint]]\nid = \"s-%d\"\naddress = \"127.0.0.1:%d\"\n", p, p)
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", len(ports))
	return b.String()
}

// fixture is a folder with configuration files that a test changes while a Watcher follows them.
type fixture struct {
	t        *testing.T
	path     string
	dir      string // folder of the cluster files
	logs     *testutil.Logs
	versions chan *Configuration
	poll     func()        // polls, for tests that poll by themselves
	polled   chan struct{} // receives a value after each poll by the timer, if the test waits for it
}

// newFixture returns a fixture with a valid program's file and the cluster rooms with four endpoints.
func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, logs: testutil.NewLogs(t), versions: make(chan *Configuration, 1000), polled: make(chan struct{})}
	root := t.TempDir()
	f.path, f.dir = filepath.Join(root, "yokestall.toml"), filepath.Join(root, "clusters")
	if err := os.Mkdir(f.dir, 0o755); err != nil {
		t.Fatal(err)
	}
	f.writeFile(f.path, program)
	f.writeFile(f.roomsFile(), clusterText("", 1, 2, 3, 4))
	return f
}

// roomsFile returns the path of the file of the cluster rooms.
func (f *fixture) roomsFile() string { return filepath.Join(f.dir, "rooms.toml") }

// writeFile writes a file in place, without a rename.
func (f *fixture) writeFile(name, text string) {
	f.t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		f.t.Fatal(err)
	}
}

// writeSealed writes a file in place, without a rename, with a checksum.
func (f *fixture) writeSealed(name, text string) {
	f.t.Helper()
	f.writeFile(name, string(config.AddChecksum([]byte(text))))
}

// replaceFile replaces a file atomically: it writes a new file and renames it.
func (f *fixture) replaceFile(name, text string) {
	f.t.Helper()
	f.writeFile(name+".new", text)
	if err := os.Rename(name+".new", name); err != nil {
		f.t.Fatal(err)
	}
}

// watch runs a Watcher until the end of the test and returns the first version.
func (f *fixture) watch() *Configuration { return f.watchWith(newNotifier) }

// watchWith is like watch with another notifier.
func (f *fixture) watchWith(notify func() (notifier, error)) *Configuration {
	f.t.Helper()
	w, first, err := open(f.path, f.logs.Logger(), notify)
	if err != nil {
		f.t.Fatal(err)
	}
	w.onPoll = func() {
		select {
		case f.polled <- struct{}{}:
		default:
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { w.Run(ctx, func(s *Configuration) { f.versions <- s }) })
	f.t.Cleanup(func() { stop(); run.Wait() })
	return first
}

// awaitVersion waits for the next accepted version and returns it.
func (f *fixture) awaitVersion() *Configuration {
	f.t.Helper()
	return testutil.Wait(f.t, f.versions, "a version to be accepted")
}

// awaitLog waits until the log contains a text.
func (f *fixture) awaitLog(text string) {
	f.t.Helper()
	f.logs.Wait(text)
}

// awaitPolls waits for the end of n polls that begin after the call, so that they see all files as they are now.
func (f *fixture) awaitPolls(n int) {
	f.t.Helper()
	for range n + 1 { // the first poll may have begun before the call
		testutil.Wait(f.t, f.polled, "a poll")
	}
}

// ports returns the ports of the endpoints of the cluster rooms, separated by spaces; "none" without that cluster.
func ports(s *Configuration) string {
	c := s.Version.Clusters["rooms"]
	if c == nil {
		return "none"
	}
	var list []string
	for _, e := range c.Endpoints {
		list = append(list, strings.TrimPrefix(e.ID, "s-"))
	}
	return strings.Join(list, " ")
}

// awaitPorts waits for a version for which ports returns text.
func (f *fixture) awaitPorts(text string) {
	f.t.Helper()
	for {
		s := f.awaitVersion()
		if got := ports(s); got == text {
			return
		}
	}
}
