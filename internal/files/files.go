// Package files reads and watches the product program's files. A version is taken
// whole, over all files together, or not at all; the last good one stays.
package files

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/fsnotify/fsnotify"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/tlskeys"
	"yokestall/internal/xds/state"
	"yokestall/internal/xds/translate"
	"yokestall/internal/xds/xdsfile"
)

const (
	readTries = 5 // until the files stand still while they are read
	readPause = 5 * time.Millisecond
	maxTotal  = 64 << 20 // bytes of all files of a version
	maxCauses = 1000     // remembered, so that each is logged once
)

// Snapshot is a whole, checked version of all files.
type Snapshot struct {
	Program *config.Program
	Version *cluster.Version
	sum     [sha256.Size]byte
}

var errMoving = errors.New("the files change while they are read")

// raw is what stands in the files, not yet looked at.
type raw struct {
	program  config.File
	clusters []config.File
	xds      []config.File
	sum      [sha256.Size]byte
	parsed   *config.Program // of the program's file
}

// Load reads and checks the program's file and the cluster files that it points to. It
// is all that `check` does and all that the running program takes a version by, but for
// Review.
func Load(path string) (*Snapshot, error) {
	r, err := read(path)
	if err != nil {
		return nil, err
	}
	return r.check()
}

// Check checks one file of the configuration: the program's own, with the cluster files and
// the keys that it points to, which it gives then, or a cluster file alone. The warnings are of what will be wrong
// before long.
func Check(path string) (s *Snapshot, warnings []string, err error) {
	total := 0
	text, _, err := readFile(path, &total)
	if err != nil {
		return nil, nil, err
	}
	if xdsfile.Is(path) {
		return nil, nil, checkXDS(path, text)
	}
	if config.IsCluster(text) {
		_, err = config.ParseCluster(config.File{Name: path, Text: text})
		return nil, nil, err
	}
	if s, err = Load(path); err != nil || s.Program.Keys.Folder == "" {
		return s, nil, err
	}
	warnings, err = checkKeys(Beside(path, s.Program.Keys.Folder), s)
	return s, warnings, err
}

// checkKeys checks the keys, and that each entry that something refers to is there.
func checkKeys(folder string, s *Snapshot) (warnings []string, err error) {
	warnings, set, err := tlskeys.Check(folder, s.Program.Keys.First, time.Now())
	if err != nil {
		return warnings, err
	}
	var found []error
	want := func(where, kind, name string, there bool) {
		if name != "" && !there {
			found = append(found, fmt.Errorf("%s: %s %q is not in %s", where, kind, name, folder))
		}
	}
	for _, l := range s.Program.Listeners {
		want("listener "+l.Address, "client_roots", l.ClientRoots, set.Roots(l.ClientRoots) != nil)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Version.Clusters)) {
		if t := s.Version.Clusters[name].Transport.TLS; t != nil {
			want("cluster "+name, "roots", t.Roots, set.Roots(t.Roots) != nil)
			want("cluster "+name, "certificate", t.Certificate, set.Pair(t.Certificate) != nil)
		}
	}
	return warnings, errors.Join(found...)
}

// checkXDS checks one file in xDS form by itself: its resources, not what they refer to.
func checkXDS(path string, text []byte) error {
	list := []config.File{{Name: path, Text: text}}
	total := 0
	if sum, _, err := readFile(path+xdsfile.SumSuffix, &total); err == nil {
		list = append(list, config.File{Name: path + xdsfile.SumSuffix, Text: sum})
	}
	return xdsfile.Check(list)
}

func (r *raw) check() (*Snapshot, error) {
	clusters, err := config.ParseClusters(r.clusters)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{Program: r.parsed, Version: &cluster.Version{Clusters: clusters}, sum: r.sum}
	if r.parsed.XDS.Folder == "" {
		return s, nil
	}
	t, from := XDSOptions(r.parsed)
	view, err := xdsfile.Parse(r.xds, t, from)
	if err != nil {
		return nil, err
	}
	for name, c := range view.Clusters {
		if first := clusters[name]; first != nil {
			return nil, &cluster.Problem{Source: c.Source, Text: fmt.Sprintf("cluster %s is %s's too", name, first.Source)}
		}
		clusters[name] = c
	}
	if v := view.Routes; v != nil {
		if s.Program, err = r.parsed.Routed(v.Table, v.Hosts, v.Classes, v.Tenants); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// XDSOptions gives what resources in xDS form are read by under a program's file.
func XDSOptions(p *config.Program) (translate.Options, state.Options) {
	t := translate.Options{Class: p.XDS.Class}
	for _, c := range p.Classes {
		t.Classes = append(t.Classes, c.Name)
	}
	return t, state.Options{Listener: p.XDS.Listener, Route: p.XDS.Routes, Named: p.XDS.Named}
}

// read reads all files of one version: it starts again where one of them changes
// meanwhile.
func read(path string) (*raw, error) {
	for try := 0; ; try++ {
		r, err := readOnce(path)
		if !errors.Is(err, errMoving) || try == readTries-1 {
			return r, err
		}
		time.Sleep(readPause)
	}
}

func readOnce(path string) (*raw, error) {
	r := &raw{}
	total := 0
	text, before, err := readFile(path, &total)
	if err != nil {
		return nil, err
	}
	r.program = config.File{Name: path, Text: text}
	if r.parsed, err = config.ParseProgram(path, text); err != nil {
		return nil, err
	}
	names, inXDS, err := r.list(path)
	if err != nil {
		return nil, err
	}
	infos := map[string]fs.FileInfo{path: before}
	h := sha256.New()
	fmt.Fprintf(h, "%d\n", len(text))
	h.Write(text)
	for _, name := range names {
		text, info, err := readFile(name, &total)
		if err != nil {
			return nil, err
		}
		infos[name] = info
		if f := (config.File{Name: name, Text: text}); inXDS[name] {
			r.xds = append(r.xds, f)
		} else {
			r.clusters = append(r.clusters, f)
		}
		fmt.Fprintf(h, "%q %d\n", name, len(text))
		h.Write(text)
	}
	h.Sum(r.sum[:0])
	again, _, err := r.list(path)
	if err != nil || !slices.Equal(names, again) {
		return nil, errMoving
	}
	for name, was := range infos {
		is, err := os.Stat(name)
		if err != nil || !os.SameFile(was, is) || was.Size() != is.Size() || !was.ModTime().Equal(is.ModTime()) {
			return nil, errMoving
		}
	}
	return r, nil
}

// list names the files that the program's own points to, and those of them in xDS form.
func (r *raw) list(path string) (names []string, inXDS map[string]bool, err error) {
	inXDS = map[string]bool{}
	if folder := r.parsed.Files.Folder; folder != "" {
		if names, err = list(Beside(path, folder), func(name string) bool { return strings.HasSuffix(name, ".toml") }); err != nil {
			return nil, nil, fmt.Errorf("cluster files: %w", err)
		}
	}
	if folder := r.parsed.XDS.Folder; folder != "" {
		more, err := list(Beside(path, folder), func(name string) bool {
			return xdsfile.Is(strings.TrimSuffix(name, xdsfile.SumSuffix))
		})
		if err != nil {
			return nil, nil, fmt.Errorf("files in xDS form: %w", err)
		}
		for _, name := range more {
			inXDS[name] = true
		}
		names = append(names, more...)
	}
	return names, inXDS, nil
}

// Beside gives a path that is written in a file.
func Beside(path, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(path), name)
}

// list names the files of a folder that are wanted and don't begin with a dot.
func list(folder string, wanted func(name string) bool) ([]string, error) {
	d, err := os.Open(folder)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	var names []string
	for {
		entries, err := d.ReadDir(256)
		for _, e := range entries {
			if wanted(e.Name()) && !strings.HasPrefix(e.Name(), ".") {
				names = append(names, filepath.Join(folder, e.Name()))
			}
		}
		if len(names) > config.MaxFiles {
			return nil, &cluster.Problem{Source: folder, Text: fmt.Sprintf("over %d files", config.MaxFiles)}
		}
		if err == io.EOF {
			slices.Sort(names)
			return names, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func readFile(name string, total *int) ([]byte, fs.FileInfo, error) {
	// Stat goes first: to open a pipe would wait for a writer.
	info, err := os.Stat(name)
	if errors.Is(err, fs.ErrNotExist) {
		if _, err := os.Lstat(name); err == nil {
			return nil, nil, &cluster.Problem{Source: name, Text: "points to a file that is not there"}
		}
	}
	switch {
	case err != nil:
		return nil, nil, &cluster.Problem{Source: name, Text: cause(err)}
	case info.IsDir():
		return nil, nil, &cluster.Problem{Source: name, Text: "is a folder"}
	case !info.Mode().IsRegular():
		return nil, nil, &cluster.Problem{Source: name, Text: "is no regular file"}
	case info.Size() > config.MaxFile:
		return nil, nil, &cluster.Problem{Source: name, Text: fmt.Sprintf("%d bytes; %d at most", info.Size(), config.MaxFile)}
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, nil, &cluster.Problem{Source: name, Text: cause(err)}
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, config.MaxFile+1))
	if err != nil {
		return nil, nil, &cluster.Problem{Source: name, Text: cause(err)}
	}
	if len(text) > config.MaxFile {
		return nil, nil, &cluster.Problem{Source: name, Text: fmt.Sprintf("over %d bytes", config.MaxFile)}
	}
	if *total += len(text); *total > maxTotal {
		return nil, nil, &cluster.Problem{Source: name, Text: fmt.Sprintf("all files together have over %d bytes", maxTotal)}
	}
	return text, info, nil
}

// cause gives an error of the file system without the path that stands before it.
func cause(err error) string {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// Watcher follows the files. Create it with Open.
type Watcher struct {
	path    string
	log     *slog.Logger
	current *Snapshot
	number  uint64

	refused [sha256.Size]byte // the content refused last, seen once
	logged  map[string]bool   // causes
	notify  func() (*notifier, error)
	polled  func() // called after each look of the poll; nil: nobody waits for it
}

// notifier tells of changes below folders. What it tells is a hint to look.
type notifier struct {
	events <-chan fsnotify.Event
	faults <-chan error // an overflow, say
	add    func(folder string) error
	close  func() error
}

func newNotifier() (*notifier, error) {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	return &notifier{w.Events, w.Errors, w.Add, w.Close}, nil
}

// Open reads the first version, which has to be good.
func Open(path string, log *slog.Logger) (*Watcher, *Snapshot, error) {
	s, err := Load(path)
	if err != nil {
		return nil, nil, err
	}
	s.Version.Number = 1
	return &Watcher{path: path, log: log, current: s, number: 1, logged: map[string]bool{}, notify: newNotifier}, s, nil
}

// Run calls take with each new version, until ctx ends. Changes are seen by
// notification, and by the content of the files at each poll, which alone is enough.
func (w *Watcher) Run(ctx context.Context, take func(*Snapshot)) {
	notes, err := w.notify()
	if err != nil {
		w.log.Warn("changes are seen by polling alone", "err", err)
		notes = &notifier{add: func(string) error { return nil }, close: func() error { return nil }}
	}
	defer notes.close()
	for _, folder := range w.folders() {
		if err := notes.add(folder); err != nil {
			w.log.Warn("changes are seen by polling alone", "folder", folder, "err", err)
		}
	}
	watched := w.folders()
	for {
		poll := time.NewTimer(w.current.Program.Files.Poll)
		select {
		case <-ctx.Done():
			poll.Stop()
			return
		case <-notes.events:
			poll.Stop()
			if s := w.look(false); s != nil {
				take(s)
			}
		case <-notes.faults:
			poll.Stop()
			if s := w.look(false); s != nil {
				take(s)
			}
		case <-poll.C:
			if s := w.look(true); s != nil {
				take(s)
			}
			if w.polled != nil {
				w.polled()
			}
		}
		if now := w.folders(); !slices.Equal(now, watched) {
			for _, folder := range now {
				notes.add(folder) // polling sees what this can't
			}
			watched = now
		}
	}
}

func (w *Watcher) folders() []string {
	p, all := w.current.Program, []string{filepath.Dir(w.path)}
	for _, folder := range []string{p.Files.Folder, p.XDS.Folder} {
		if folder != "" {
			all = append(all, Beside(w.path, folder))
		}
	}
	return all
}

// look reads the files and gives a version that is new, whole and not held back. What
// is refused is logged once a cause, and only once it has stood from one poll to the
// next: a file that is being written is no fault.
func (w *Watcher) look(polled bool) *Snapshot {
	r, err := read(w.path)
	var sum [sha256.Size]byte
	var s *Snapshot
	if err == nil {
		if sum = r.sum; sum == w.current.sum {
			w.refused = [sha256.Size]byte{}
			return nil
		}
		s, err = r.check()
	}
	if err == nil {
		err = cluster.Review(w.current.Version, s.Version, s.Program.Files.MaxShare)
	}
	if err == nil {
		w.keepUnchanged(s)
		w.number++
		s.Version.Number = w.number
		w.current, w.refused = s, [sha256.Size]byte{}
		clear(w.logged)
		w.log.Info("a new version of the files is taken", "version", w.number, "clusters", len(s.Version.Clusters))
		return s
	}
	if sum == ([sha256.Size]byte{}) {
		sum = sha256.Sum256([]byte(err.Error()))
	}
	if !polled {
		return nil
	}
	if sum != w.refused {
		w.refused = sum
		return nil
	}
	for _, cause := range strings.Split(err.Error(), "\n") {
		if !w.logged[cause] && len(w.logged) < maxCauses {
			w.logged[cause] = true
			w.log.Error("the files are not taken; the last good version stays", "version", w.number, "cause", cause)
		}
	}
	return nil
}

// keepUnchanged puts the clusters in force in place of equal ones of a new version, so
// that whoever follows sees at once what is the same.
func (w *Watcher) keepUnchanged(s *Snapshot) {
	for name, c := range s.Version.Clusters {
		old := w.current.Version.Clusters[name]
		if old == nil || old.Empty != c.Empty || len(old.Endpoints) != len(c.Endpoints) {
			continue
		}
		if d := cluster.Compare(old, c); d.Empty() {
			s.Version.Clusters[name] = old
		}
	}
}
