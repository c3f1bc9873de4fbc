package cli

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"yokestall/internal/files"
	"yokestall/internal/testutil"
)

const shutdownConfig = `[listen]
address = "127.0.0.1:0"
[files]
clusters = "clusters"
[[class]]
name = "read"
effect = "safe"
deadline = "20ms"
[[host]]
[[host.route]]
prefix = "/"
class = "read"
cluster = "rooms"
`

// Guards against a program that never ends, because something that it follows does not answer, such as a file system.
func TestShutdownLeavesSilentTasksBehind(t *testing.T) {
	path := filepath.Join(t.TempDir(), "yokestall.toml")
	if err := os.Mkdir(filepath.Join(filepath.Dir(path), "clusters"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(shutdownConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	watcher, first, err := files.Open(path, testutil.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	defer watcher.Close()
	logs := testutil.NewLogs(t)
	s, err := newServer(path, first, newMemoryLimit(), logs.Logger(), serveOptions{})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.start(watcher); err != nil {
		t.Fatal(err)
	}
	answers := make(chan struct{})
	s.tasks.Go(func() { <-answers })
	ended := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(ended)
		s.shutDown()
	}()
	testutil.Wait(t, ended, "the end of the program")
	if took := time.Since(began); took < minTaskEndTimeout {
		t.Errorf("the shutdown took %v, want at least %v for the tasks", took, minTaskEndTimeout)
	}
	logs.Wait("tasks did not end in time")
	close(answers)
	s.tasks.Wait()
	s.app.Close()
}
