package files

import (
	"log/slog"
	"maps"
	"path/filepath"
	"slices"
	"sync"

	"yokestall/internal/files/inotify"
)

// notifier notifies of changes of the entries of folders, but not of entries in their subfolders. Its methods are those of
// inotify.Watcher.
type notifier interface {
	Watch(folder string) (inotify.FolderID, error)
	Unwatch(id inotify.FolderID)
	Take() (events []inotify.Event, lost bool)
	Wait() error
	Close() error
}

// newNotifier returns a notifier that uses the operating system's file notification.
func newNotifier() (notifier, error) { return inotify.New() }

// placements records how the files that configuration paths lead to came to their places, from the notifications of the folders
// in which they are. It must be used by one goroutine at a time.
type placements struct {
	log      *slog.Logger
	notifier notifier // nil: notification is unavailable
	folders  map[string]inotify.FolderID
	failed   map[string]bool // folders that could not be watched, which are logged once
	entries  map[entryKey]*placement
	changes  uint64 // number of changes that were notified of
}

// entryKey identifies an entry of a watched folder.
type entryKey struct {
	folder inotify.FolderID
	name   string
}

// placement is what is known of an entry of a folder since the folder is watched. The numbers are those of the latest change
// of each kind, as counted by placements.changes; 0: there was none.
type placement struct {
	renamed uint64 // the entry was renamed to its name
	written uint64 // the entry was created or written
	seen    stamp  // of the file when it was first looked at after it was renamed; zero: not yet
}

// latest returns the number of the latest change of either kind.
func (p *placement) latest() uint64 { return max(p.renamed, p.written) }

// newPlacements returns placements without folders. If notification is unavailable, it logs that.
func newPlacements(newNotifier func() (notifier, error), log *slog.Logger) *placements {
	p := &placements{
		log: log, folders: map[string]inotify.FolderID{}, failed: map[string]bool{}, entries: map[entryKey]*placement{},
	}
	n, err := newNotifier()
	if err != nil {
		log.Warn(pollingOnly, "err", err)
		return p
	}
	p.notifier = n
	return p
}

// pollingOnly is the log event for folders without notification.
const pollingOnly = "file notification unavailable, polling only"

// watch watches a folder, if it is not watched yet, so that the placements of its entries are known from now on.
func (p *placements) watch(folder string) {
	if p.notifier == nil {
		return
	}
	id, err := p.notifier.Watch(folder)
	if err != nil {
		if !p.failed[folder] {
			p.failed[folder] = true
			p.log.Warn(pollingOnly, "folder", folder, "err", err)
		}
		return
	}
	delete(p.failed, folder)
	if former, known := p.folders[folder]; known && former != id { // another folder has taken the place of the former one
		p.unwatch(folder, former)
	}
	p.folders[folder] = id
}

// watchOnly ends the watches of all folders but the wanted ones.
func (p *placements) watchOnly(wanted map[string]bool) {
	for folder, id := range p.folders {
		if !wanted[folder] {
			p.unwatch(folder, id)
		}
	}
	maps.DeleteFunc(p.failed, func(folder string, _ bool) bool { return !wanted[folder] })
}

// unwatch ends the watch of a folder, unless the folder is watched under another path too.
func (p *placements) unwatch(folder string, id inotify.FolderID) {
	delete(p.folders, folder)
	if !slices.Contains(slices.Collect(maps.Values(p.folders)), id) {
		p.notifier.Unwatch(id)
		p.forget(id)
	}
}

// forget drops what is known of the entries of a folder.
func (p *placements) forget(id inotify.FolderID) {
	maps.DeleteFunc(p.entries, func(key entryKey, _ *placement) bool { return key.folder == id })
}

// update records the changes that were notified of since the last call.
func (p *placements) update() {
	if p.notifier == nil {
		return
	}
	events, lost := p.notifier.Take()
	if lost {
		clear(p.entries)
		p.changes++
	}
	for _, e := range events {
		p.record(e)
	}
}

// record records one change.
func (p *placements) record(e inotify.Event) {
	p.changes++
	key := entryKey{e.Folder, e.Name}
	switch e.Op {
	case inotify.Created:
		p.entries[key] = &placement{written: p.changes}
	case inotify.RenamedTo:
		p.entries[key] = &placement{renamed: p.changes}
	case inotify.Written:
		if p.entries[key] == nil {
			p.entries[key] = &placement{}
		}
		p.entries[key].written = p.changes
	case inotify.Removed:
		delete(p.entries, key)
	case inotify.Unwatched:
		p.forget(e.Folder)
		maps.DeleteFunc(p.folders, func(_ string, id inotify.FolderID) bool { return id == e.Folder })
	}
}

// of returns what is known of the entry at a path without symbolic links, as of the last update; nil: nothing.
func (p *placements) of(path string) *placement {
	id, watched := p.folders[filepath.Dir(path)]
	if !watched {
		return nil
	}
	return p.entries[entryKey{id, filepath.Base(path)}]
}

// notify returns a channel from which a value can be received when changes may have been notified of, and a function that ends
// the notification.
func (p *placements) notify() (notifications <-chan struct{}, stop func()) {
	if p.notifier == nil {
		return nil, func() {}
	}
	out, stopped := make(chan struct{}), make(chan struct{})
	var waiting sync.WaitGroup
	waiting.Go(func() {
		for p.notifier.Wait() == nil {
			select {
			case out <- struct{}{}:
			case <-stopped:
				return
			}
		}
	})
	return out, func() {
		close(stopped)
		p.close()
		waiting.Wait()
	}
}

// close ends the notification.
func (p *placements) close() {
	if p.notifier != nil {
		p.notifier.Close()
	}
}
