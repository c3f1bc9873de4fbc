package files

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/xds/xdsfile"
)

const (
	readTries = 5 // until the files stand still while they are read
	readPause = 5 * time.Millisecond
	maxTotal  = 64 << 20 // bytes of all files of a version
	maxKnown  = 4 * config.MaxFiles
)

var errMoving = errors.New("the files change while they are read")

// reader reads the files of a configuration again and again, and of each only what has changed by its stamp.
type reader struct {
	path  string // of the program's file
	clock func() time.Time
	stat  func(name string) stamp
	known map[string]*record
	used  []*record // by the last scan
	whole bool      // the last scan saw all of them stand still
	total int64     // bytes of the files of this scan
	reads int       // of files and folders, counted for tests
}

// record is what is known of a file or a folder.
type record struct {
	key  string // in reader.known
	name string
	history
	sum   hash
	text  []byte // while a scan's files are looked at
	size  int64
	names []string // of a folder
	err   error    // by which it could not be read
}

type hash = [sha256.Size]byte

func newReader(path string) *reader {
	return &reader{path: path, clock: time.Now, stat: readStamp, known: map[string]*record{}}
}

// unchanged tells whether nothing has changed since the last scan, at the cost of a stat for each file and folder.
func (r *reader) unchanged() bool {
	if !r.whole {
		return false
	}
	at := r.clock()
	for _, f := range r.used {
		if !f.upToDate(r.stat(f.name), at) {
			return false
		}
	}
	return true
}

// scan gives the files of one version: it starts again where one of them changes meanwhile. Parser reads the
// program's file, which names the others.
func (r *reader) scan(p *Parser) (*version, error) {
	for try := 0; ; try++ {
		v, err := r.scanOnce(p)
		if !errors.Is(err, errMoving) || try == readTries-1 {
			return v, err
		}
		time.Sleep(readPause)
	}
}

func (r *reader) scanOnce(p *Parser) (*version, error) {
	r.used, r.whole, r.total = r.used[:0], false, 0
	v, err := r.version(p)
	if errors.Is(err, errMoving) {
		return nil, err
	}
	for _, f := range r.used {
		if f.stamp != r.stat(f.name) {
			return nil, errMoving
		}
	}
	r.whole = true
	return v, err
}

// version reads the program's file and those that it points to.
func (r *reader) version(p *Parser) (v *version, err error) {
	v = &version{}
	if v.program, err = r.file(r.path); err != nil {
		return nil, err
	}
	if v.parsed, err = p.program(v.program); err != nil {
		return nil, err
	}
	if name := v.parsed.Files.Tenants; name != "" {
		tenants, err := r.file(Beside(r.path, name))
		if err != nil {
			return nil, err
		}
		v.tenants = []part{tenants}
	}
	if folder := v.parsed.Files.Folder; folder != "" {
		if v.clusters, err = r.files(folder, "cluster files", isClusterFile); err != nil {
			return nil, err
		}
	}
	if folder := v.parsed.XDS.Folder; folder != "" {
		if v.xds, err = r.files(folder, "files in xDS form", isXDSFile); err != nil {
			return nil, err
		}
	}
	return v, nil
}

func isClusterFile(name string) bool { return strings.HasSuffix(name, ".toml") }

func isXDSFile(name string) bool { return xdsfile.Is(strings.TrimSuffix(name, xdsfile.SumSuffix)) }

// files gives those of a folder that are wanted.
func (r *reader) files(folder, what string, wanted func(name string) bool) ([]part, error) {
	names, err := r.folder(Beside(r.path, folder), wanted)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", what, err)
	}
	list := make([]part, 0, len(names))
	for _, name := range names {
		f, err := r.file(name)
		if err != nil {
			return nil, err
		}
		list = append(list, f)
	}
	return list, nil
}

// look gives a file's or folder's record, and whether it has to be read.
func (r *reader) look(key, name string) (f *record, stale bool) {
	f = r.known[key]
	if f == nil {
		f = &record{key: key, name: name}
		r.known[key] = f
	}
	r.used = append(r.used, f)
	now, at := r.stat(name), r.clock()
	if f.upToDate(now, at) {
		return f, false
	}
	f.record(now, at)
	return f, true
}

func (r *reader) folder(name string, wanted func(name string) bool) ([]string, error) {
	f, stale := r.look(name+"/", name)
	if stale {
		r.reads++
		if f.names, f.err = list(name, wanted); f.err != nil {
			f.again()
		}
	}
	return f.names, f.err
}

func (r *reader) file(name string) (part, error) {
	f, stale := r.look(name, name)
	if stale {
		f.text, f.size = nil, 0
		if f.err = f.stamp.fileProblem(name); f.err == nil {
			f.err = r.read(f)
		}
	}
	if f.err != nil {
		return part{}, f.err
	}
	if r.total += f.size; r.total > maxTotal {
		return part{}, tooMuch(name)
	}
	return part{name: name, sum: f.sum, text: func() ([]byte, error) { return r.text(f) }}, nil
}

func tooMuch(name string) error {
	return &cluster.Problem{Source: name, Text: fmt.Sprintf("all files together have over %d bytes", maxTotal)}
}

// read reads a file's content, if it is not too much beside the others'.
func (r *reader) read(f *record) error {
	if r.total+f.stamp.size > maxTotal {
		f.again()
		return tooMuch(f.name)
	}
	r.reads++
	text, err := readWhole(f.name, f.stamp.size)
	if err != nil {
		f.again()
		return err
	}
	f.text, f.size, f.sum = text, int64(len(text)), sha256.Sum256(text)
	return nil
}

// again has a file or folder read at the next look, whatever its stamp says.
func (f *record) again() { f.read = time.Time{} }

// text gives the content that a scan found in a file, read again if it is no longer held.
func (r *reader) text(f *record) ([]byte, error) {
	if f.text != nil {
		return f.text, nil
	}
	r.reads++
	text, err := readWhole(f.name, f.stamp.size)
	if err == nil && sha256.Sum256(text) == f.sum {
		return text, nil
	}
	f.again()
	r.whole = false
	return nil, errMoving
}

// finishScan lets go of the contents, and of what a version that was good had no use for.
func (r *reader) finishScan(good bool) {
	if good || len(r.known) > maxKnown {
		clear(r.known)
	}
	for _, f := range r.used {
		f.text = nil
		r.known[f.key] = f
	}
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

// readFile reads a file that may be anything.
func readFile(name string) ([]byte, error) {
	s := readStamp(name)
	if err := s.fileProblem(name); err != nil {
		return nil, err
	}
	return readWhole(name, s.size)
}

// readWhole reads a file of about this size.
func readWhole(name string, size int64) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, &cluster.Problem{Source: name, Text: cause(err)}
	}
	defer f.Close()
	text := bytes.NewBuffer(make([]byte, 0, min(size, config.MaxFile)+bytes.MinRead))
	if _, err := text.ReadFrom(io.LimitReader(f, config.MaxFile+1)); err != nil {
		return nil, &cluster.Problem{Source: name, Text: cause(err)}
	}
	if text.Len() > config.MaxFile {
		return nil, &cluster.Problem{Source: name, Text: fmt.Sprintf("over %d bytes", config.MaxFile)}
	}
	return text.Bytes(), nil
}

// cause gives an error of the file system without the path that stands before it.
func cause(err error) string {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}
