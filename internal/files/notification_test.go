package files

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/fsnotify/fsnotify"
)

// If file notification is unavailable or can't watch a folder, polling finds a change, even one that keeps the file's size
// and modification time. An overflow of the notifier causes a poll at once.
func TestWithoutNotification(t *testing.T) {
	for name, notify := range map[string]func() (*notifier, error){
		"unavailable": func() (*notifier, error) { return nil, errors.New("too many open files") },
		"silent": func() (*notifier, error) {
			add := func(string) error { return errors.New("no space left") }
			return &notifier{add: add, close: func() error { return nil }}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			before, err := os.Stat(f.roomsFile())
			if err != nil {
				t.Fatal(err)
			}
			f.watchWith(notify)
			f.awaitLog("polling only")
			f.writeFile(f.roomsFile(), clusterText("", 1, 2, 3, 5))
			if err := os.Chtimes(f.roomsFile(), before.ModTime(), before.ModTime()); err != nil {
				t.Fatal(err)
			}
			f.awaitPorts("1 2 3 5")
		})
	}
	t.Run("overflowed", func(t *testing.T) {
		f := newFixture(t)
		f.writeFile(f.path, strings.Replace(program, "20ms", "1m", 1)) // the timer does not poll during the test
		faults := make(chan error, 1)
		f.watchWith(func() (*notifier, error) {
			add := func(string) error { return nil }
			return &notifier{errs: faults, add: add, close: func() error { return nil }}, nil
		})
		f.replaceFile(f.roomsFile(), clusterText("", 1, 2, 3, 5))
		faults <- fsnotify.ErrEventOverflow
		f.awaitPorts("1 2 3 5")
	})
}
