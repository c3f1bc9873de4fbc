package files

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/xds/xdsfile"
)

const (
	// maxScans is the number of attempts of a scan, which starts over if files change while they are read.
	maxScans = 5
	// rescanDelay is the time between two attempts of a scan.
	rescanDelay = 5 * time.Millisecond
	// maxTotalBytes is the largest total size of the files of a version.
	maxTotalBytes = 64 << 20
	// maxRecords is the number of records above which finishScan removes those that the last scan did not use, even
	// after a rejected version.
	maxRecords = 4 * config.MaxFiles
)

// errFilesChanged is returned if files change while they are read.
var errFilesChanged = errors.New("the configuration files changed while they were read")

// reader reads the files of a configuration repeatedly. It reads a file or folder again only if
// readState.upToDate reports that the last read is no longer valid.
type reader struct {
	path      string // path of the program's file, absolute
	clock     func() time.Time
	stat      func(name string) stamp
	records   map[string]*record // by record.key
	scanned   []*record          // records of the files and folders of the last scan
	stable    bool               // no file changed during the last scan; unset by text if a file changed later
	scanBytes int64              // total size of the files that the present scan has read so far
	reads     int                // number of reads of files and folders, for tests

	placements *placements     // nil: the reader reads once and does not observe the files
	accepted   acceptedFiles   // of the version in force
	paths      resolver        // paths that the present scan has resolved
	watched    map[string]bool // folders that the present scan has watched
}

func newReader(path string) *reader {
	return &reader{path: path, clock: time.Now, stat: readStamp, records: map[string]*record{}}
}

// unchanged reports whether no file changed since the last scan. It costs one stat for each file and folder.
func (r *reader) unchanged() bool {
	if !r.stable {
		return false
	}
	at := r.clock()
	for _, f := range r.scanned {
		if !f.upToDate(r.stat(f.name), at) {
			return false
		}
	}
	return true
}

// scan returns the files of one version. It starts over if one of them changes meanwhile, and returns errFilesChanged if
// files change in each of maxScans attempts. The parser parses the program's file, which names the other files.
func (r *reader) scan(p *Parser) (*contents, error) {
	for scans := 1; ; scans++ {
		v, err := r.scanOnce(p)
		if !errors.Is(err, errFilesChanged) || scans == maxScans {
			return v, err
		}
		time.Sleep(rescanDelay)
	}
}

func (r *reader) scanOnce(p *Parser) (*contents, error) {
	r.scanned, r.stable, r.scanBytes = r.scanned[:0], false, 0
	r.paths, r.watched = resolver{}, map[string]bool{}
	v, err := r.contents(p)
	if errors.Is(err, errFilesChanged) {
		return nil, err
	}
	for _, f := range r.scanned {
		if f.stamp != r.stat(f.name) {
			return nil, errFilesChanged
		}
	}
	r.stable = true
	return v, err
}

// contents reads the program's file and the files that it names.
func (r *reader) contents(p *Parser) (v *contents, err error) {
	v = &contents{}
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
		tenants.setting = name
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
		markChecksummed(v.xds)
	}
	return v, nil
}

// markChecksummed marks the files in xDS form that have their checksum in a file beside them, and these files.
func markChecksummed(list []part) {
	beside := map[string]bool{}
	for i := range list {
		if strings.HasSuffix(list[i].name, xdsfile.ChecksumSuffix) {
			beside[list[i].name] = true
			list[i].checksummed = true
		}
	}
	for i := range list {
		list[i].checksummed = list[i].checksummed || beside[list[i].name+xdsfile.ChecksumSuffix]
	}
}

func isClusterFile(name string) bool { return strings.HasSuffix(name, ".toml") }

func isXDSFile(name string) bool {
	return xdsfile.HasExtension(strings.TrimSuffix(name, xdsfile.ChecksumSuffix))
}

// files returns the files of a folder whose names are selected. An error of listing the folder begins with kind.
func (r *reader) files(folder, kind string, selected func(name string) bool) ([]part, error) {
	names, err := r.folder(Beside(r.path, folder), selected)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", kind, err)
	}
	list := make([]part, 0, len(names))
	for _, name := range names {
		f, err := r.file(name)
		if err != nil {
			return nil, err
		}
		f.setting = folder
		list = append(list, f)
	}
	return list, nil
}

// record returns the record of a file or folder. If stale is true, the record has the present stamp, and the caller has to
// read the file or folder.
func (r *reader) record(key, name string) (f *record, stale bool) {
	f = r.records[key]
	if f == nil {
		f = &record{key: key, name: name}
		r.records[key] = f
	}
	r.scanned = append(r.scanned, f)
	r.observe(key, name)
	stamp, at := r.stat(name), r.clock()
	if f.upToDate(stamp, at) {
		return f, false
	}
	f.recordRead(stamp, at)
	return f, true
}

// observe watches the folders that hold the file, or are the folder, that a path leads to, and the links on its way. It has to be
// called before the file is read.
func (r *reader) observe(key, name string) {
	if r.placements == nil {
		return
	}
	to, err := r.paths.resolve(name)
	if err != nil {
		return // reading finds the same error
	}
	folders := []string{filepath.Dir(to.file)}
	if key != name { // a folder
		folders = append(folders, to.file)
	}
	for _, ref := range to.references {
		folders = append(folders, filepath.Dir(ref.path))
	}
	for _, folder := range folders {
		if !r.watched[folder] {
			r.watched[folder] = true
			r.placements.watch(folder)
		}
	}
}

// folder returns the paths of a folder's files whose names are selected.
func (r *reader) folder(name string, selected func(name string) bool) ([]string, error) {
	f, stale := r.record(name+"/", name)
	if stale {
		r.reads++
		if f.names, f.err = listFolder(name, selected); f.err != nil {
			f.invalidate()
		}
	}
	return f.names, f.err
}

// file returns a file. It reads the content if the file's record is stale.
func (r *reader) file(name string) (part, error) {
	f, stale := r.record(name, name)
	if stale {
		f.text, f.size = nil, 0
		if f.err = f.stamp.fileProblem(name); f.err == nil {
			f.err = r.read(f)
		}
	}
	if f.err != nil {
		return part{}, f.err
	}
	if r.scanBytes += f.size; r.scanBytes > maxTotalBytes {
		return part{}, totalSizeProblem(name)
	}
	text := func() ([]byte, error) { return r.text(f) }
	return part{name: name, hash: f.hash, text: text, checksummed: f.checksummed}, nil
}

func totalSizeProblem(name string) error {
	text := fmt.Sprintf("the configuration files have over %d bytes together", maxTotalBytes)
	return &cluster.Problem{Source: name, Text: text}
}

// read reads a file's content into its record, unless the files of the scan would exceed maxTotalBytes.
func (r *reader) read(f *record) error {
	if r.scanBytes+f.stamp.size > maxTotalBytes {
		f.invalidate()
		return totalSizeProblem(f.name)
	}
	r.reads++
	text, err := readContent(f.name, f.stamp.size)
	if err != nil {
		f.invalidate()
		return err
	}
	f.text, f.size, f.hash, f.checksummed = text, int64(len(text)), hashOf(text), config.HasChecksum(text)
	return nil
}

// text returns the content that a scan found in a file. If the record does not hold the content, since an earlier scan
// read it, text reads the file again, and returns errFilesChanged if its content is no longer the same.
func (r *reader) text(f *record) ([]byte, error) {
	if f.text != nil {
		return f.text, nil
	}
	r.reads++
	text, err := readContent(f.name, f.stamp.size)
	if err == nil && hashOf(text) == f.hash {
		return text, nil
	}
	f.invalidate()
	r.stable = false
	return nil, errFilesChanged
}

// finishScan releases the contents of the scanned files. After an accepted version, or with over maxRecords records, it
// also removes the records that the scan did not use.
func (r *reader) finishScan(accepted bool) {
	if accepted || len(r.records) > maxRecords {
		clear(r.records)
	}
	for _, f := range r.scanned {
		f.text = nil
		r.records[f.key] = f
	}
}
