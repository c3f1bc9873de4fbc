package files

import (
	"errors"
	"os"
	"strings"
	"sync"
	"testing"

	"yokestall/internal/config"
	"yokestall/internal/files/inotify"
)

// scriptedNotifier is a notifier that loses all notifications. While a value is in overflows, it reports that.
type scriptedNotifier struct {
	watchErr  error // returned by Watch
	overflows chan struct{}

	closed chan struct{}
	once   sync.Once
}

func newScriptedNotifier(watchErr error) *scriptedNotifier {
	return &scriptedNotifier{watchErr: watchErr, overflows: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (n *scriptedNotifier) Watch(string) (inotify.FolderID, error) { return 1, n.watchErr }

func (n *scriptedNotifier) Unwatch(inotify.FolderID) {}

func (n *scriptedNotifier) Take() (events []inotify.Event, lost bool) {
	select {
	case <-n.overflows:
		return nil, true
	default:
		return nil, false
	}
}

func (n *scriptedNotifier) Wait() error {
	select {
	case v := <-n.overflows:
		n.overflows <- v
		return nil
	case <-n.closed:
		return os.ErrClosed
	}
}

func (n *scriptedNotifier) Close() error {
	n.once.Do(func() { close(n.closed) })
	return nil
}

// If file notification is unavailable or can't watch a folder, polling finds a change, even one that keeps the file's size
// and modification time. An overflow of the notifier causes a poll at once.
func TestWithoutNotification(t *testing.T) {
	for name, notify := range map[string]func() (notifier, error){
		"unavailable": func() (notifier, error) { return nil, errors.New("too many open files") },
		"silent":      func() (notifier, error) { return newScriptedNotifier(errors.New("no space left")), nil },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 3, 4))
			before, err := os.Stat(f.roomsFile())
			if err != nil {
				t.Fatal(err)
			}
			f.watchWith(notify)
			f.awaitLog("polling only")
			f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 3, 5))
			if err := os.Chtimes(f.roomsFile(), before.ModTime(), before.ModTime()); err != nil {
				t.Fatal(err)
			}
			f.awaitPorts("1 2 3 5")
		})
	}
	t.Run("overflowed", func(t *testing.T) {
		f := newFixture(t)
		f.writeFile(f.path, strings.Replace(program, "20ms", "1m", 1)) // the timer does not poll during the test
		n := newScriptedNotifier(nil)
		f.watchWith(func() (notifier, error) { return n, nil })
		f.replaceFile(f.roomsFile(), string(config.AddChecksum([]byte(clusterText("", 1, 2, 3, 5)))))
		n.overflows <- struct{}{}
		f.awaitPorts("1 2 3 5")
	})
}
