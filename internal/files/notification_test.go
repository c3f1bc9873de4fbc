package files

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/fsnotify/fsnotify"
)

// Where notification is unavailable or silent, polling by content takes over, also where size and time of the file stay
// the same; an overflow causes a poll at once.
func TestWithoutNotification(t *testing.T) {
	for name, notify := range map[string]func() (*notifier, error){
		"unavailable": func() (*notifier, error) { return nil, errors.New("too many open files") },
		"silent": func() (*notifier, error) {
			add := func(string) error { return errors.New("no space left") }
			return &notifier{add: add, close: func() error { return nil }}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFolder(t)
			before, err := os.Stat(f.rooms())
			if err != nil {
				t.Fatal(err)
			}
			f.watchBy(notify)
			f.logged("polling only")
			f.put(f.rooms(), clusterText("", 1, 2, 3, 5))
			if err := os.Chtimes(f.rooms(), before.ModTime(), before.ModTime()); err != nil {
				t.Fatal(err)
			}
			f.want("1 2 3 5")
		})
	}
	t.Run("overflowed", func(t *testing.T) {
		f := newFolder(t)
		f.put(f.path, strings.Replace(program, "20ms", "1m", 1)) // no poll in time
		faults := make(chan error, 1)
		f.watchBy(func() (*notifier, error) {
			add := func(string) error { return nil }
			return &notifier{faults: faults, add: add, close: func() error { return nil }}, nil
		})
		f.swap(f.rooms(), clusterText("", 1, 2, 3, 5))
		faults <- fsnotify.ErrEventOverflow
		f.want("1 2 3 5")
	})
}
