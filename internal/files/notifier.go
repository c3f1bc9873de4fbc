package files

import "github.com/fsnotify/fsnotify"

// notifier reports changes of the entries of folders, but not of entries in their subfolders. A report is only a hint: the
// files may be unchanged.
type notifier struct {
	events <-chan fsnotify.Event
	errs   <-chan error // errors such as an overflow, after which events are missing
	add    func(folder string) error
	close  func() error
}

// newNotifier returns a notifier that uses the operating system's file notification.
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
