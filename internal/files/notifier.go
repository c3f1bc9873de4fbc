package files

import "github.com/fsnotify/fsnotify"

// notifier reports changes of the entries of folders, not of those below their subfolders. A report only hints at a
// change.
type notifier struct {
	events <-chan fsnotify.Event
	faults <-chan error // such as an overflow, after which reports are missing
	add    func(folder string) error
	close  func() error
}

// newNotifier returns a notifier of the operating system.
func newNotifier() (*notifier, error) {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	return &notifier{w.Events, w.Errors, w.Add, w.Close}, nil
}

// nopNotifier returns a notifier that reports nothing.
func nopNotifier() *notifier {
	return &notifier{add: func(string) error { return nil }, close: func() error { return nil }}
}
