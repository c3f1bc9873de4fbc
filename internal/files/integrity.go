package files

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"yokestall/internal/config"
)

// This file has the rule by which a configuration file is known to be complete. All that read configuration files keep to it.
// A file is known to be complete if
//
//   - it has a checksum that matches, in its first line or, for files in xDS form, in the file beside it; parsing checks it; or
//   - it came to its place in one step while a Watcher observed it, by a rename or by a changed reference that leads to it, and
//     was not written since; or
//   - it has the content that it has in the version in force.
//
// A Watcher takes no other file (verify). Those who read only once (start, check, publish, diff) can't observe how a file came
// to its place. They wait while a process has a file without a checksum open for writing, and take it then (scanAtRest).

const (
	// writerWait is how long a reader that reads once waits for a process that has a file open for writing.
	writerWait = 2 * time.Second
	// writerPollInterval is the interval at which it looks.
	writerPollInterval = 50 * time.Millisecond
)

// SealCommand is the command that puts a file into force that is not known to be complete. The file's path follows it.
const SealCommand = "yokestall seal"

// UnverifiedFile is a file that is not known to be complete.
type UnverifiedFile struct {
	Path   string
	Reason string
}

// UnverifiedError is returned for files that are valid, but not known to be complete.
type UnverifiedError struct{ Files []UnverifiedFile }

// Error returns a line for each file, with its reason and the remedy.
func (e *UnverifiedError) Error() string {
	lines := make([]string, len(e.Files))
	for i, f := range e.Files {
		lines[i] = fmt.Sprintf("%s: is not known to be complete: it %s, and has no checksum; %s", f.Path, f.Reason, f.Remedy())
	}
	return strings.Join(lines, "\n")
}

// Remedy says how an operator puts the file in force as it is.
func (f UnverifiedFile) Remedy() string {
	return fmt.Sprintf("if it is complete, `%s %s` puts it in force", SealCommand, f.Path)
}

// The reasons why a file without a checksum is not known to be complete.
const (
	reasonOpen      = "is open for writing in another process"
	reasonWritten   = "was written in place"
	reasonUnseen    = "was not seen to be renamed into its place"
	reasonHardLinks = "has several hard links, by which it may be written unseen"
	reasonChanging  = "changed while it was read"
)

// acceptedFiles holds what is known of the files of the version in force.
type acceptedFiles struct {
	hashes     map[string]hash // by the names of the parts
	references map[referenceKey]bool
}

// accept records the files of the version in force, which the last scan found.
func (r *reader) accept(v *contents) {
	if r.placements == nil {
		return
	}
	r.placements.watchOnly(r.watched)
	a := acceptedFiles{hashes: map[string]hash{}, references: map[referenceKey]bool{}}
	for _, f := range v.parts() {
		a.hashes[f.name] = f.hash
		to, err := r.resolve(&r.paths, f) // as the scan found it
		if err != nil {
			continue // the next scan finds the same error
		}
		markSeen(r.placements.of(to.file), r.records[f.name].stamp)
		for _, ref := range to.references {
			a.references[ref.referenceKey] = true
		}
	}
	r.accepted = a
}

// resolve returns the resolution of a part's path. The setting that names the path is a reference too.
func (r *reader) resolve(paths *resolver, f part) (resolution, error) {
	to, err := paths.resolve(f.name)
	if program := r.records[r.path]; f.setting != "" && program != nil && err == nil {
		key := referenceKey{r.path, f.setting}
		to.references = append(to.references, reference{key, r.programFile(paths), program.stamp.changed})
	}
	return to, err
}

// programFile returns the path of the program's file without symbolic links.
func (r *reader) programFile(paths *resolver) string {
	to, err := paths.resolve(r.path)
	if err != nil {
		return r.path
	}
	return to.file
}

// verify returns an *UnverifiedError if a file of a version is not known to be complete. The version's files are valid, so that
// checksums match.
func (r *reader) verify(v *contents) error {
	var found []UnverifiedFile
	var paths resolver
	for _, f := range v.parts() {
		if f.checksummed || r.accepted.hashes[f.name] == f.hash {
			continue
		}
		if reason := r.unverifiedReason(&paths, f); reason != "" {
			found = append(found, UnverifiedFile{f.name, reason})
		}
	}
	if len(found) > 0 {
		return &UnverifiedError{found}
	}
	return nil
}

// unverifiedReason returns why a file without a checksum is not known to be complete; "" if it is. The order matters: once the
// file is not open for writing, the notifications of all writes are there.
func (r *reader) unverifiedReason(paths *resolver, f part) string {
	to, err := r.resolve(paths, f)
	if err != nil {
		return reasonChanging
	}
	if openForWriting(to.file) {
		return reasonOpen
	}
	r.placements.update()
	seen, present := r.records[f.name].stamp, r.stat(f.name)
	if present != seen {
		return reasonChanging
	}
	entry := r.placements.of(to.file)
	switch {
	case r.newlyReferred(&to, entry, seen):
		return ""
	case entry == nil:
		return reasonUnseen
	case entry.written > entry.renamed:
		return reasonWritten
	case entry.renamed == 0:
		return reasonUnseen
	case seen.links > 1:
		return reasonHardLinks
	}
	markSeen(entry, seen)
	if entry.seen != seen { // written without a notification, for example through a memory map
		return reasonWritten
	}
	return ""
}

// markSeen records the first stamp that is seen of a file after it was renamed. entry may be nil.
func markSeen(entry *placement, seen stamp) {
	if entry != nil && entry.seen == (stamp{}) {
		entry.seen = seen
	}
}

// newlyReferred reports whether a path leads to its file by a reference that the version in force did not have, and the file was
// not changed after that reference. Both times are those of the machine's clock; where the folders of both were watched, the
// order of the notifications counts too, which a stepped clock does not change.
func (r *reader) newlyReferred(to *resolution, entry *placement, seen stamp) bool {
	for _, ref := range to.references {
		if r.accepted.references[ref.referenceKey] || ref.changed < seen.changed {
			continue
		}
		referrer := r.placements.of(ref.file)
		if entry == nil || entry.written == 0 || referrer != nil && entry.written < referrer.latest() {
			return true
		}
	}
	return false
}

// scanAtRest is scan for a reader that reads once. If a process has a file without a checksum open for writing, it waits, and
// scans again. After writerWait it returns an *UnverifiedError.
func (r *reader) scanAtRest(p *Parser) (v *contents, err error) {
	err = awaitWriters(func() (err error) {
		if v, err = r.scan(p); err != nil {
			return err
		}
		return checkNotOpen(v.parts())
	})
	return v, err
}

// ReadAtRest returns the content of a regular file. If a process has a file without a checksum open for writing, it waits, and
// reads the file again. After writerWait it returns an *UnverifiedError. Other errors are *cluster.Problem.
func ReadAtRest(path string) (text []byte, err error) {
	err = awaitWriters(func() (err error) {
		if text, err = readFile(path); err != nil {
			return err
		}
		return checkNotOpen([]part{{name: path, checksummed: config.HasChecksum(text)}})
	})
	return text, err
}

// awaitWriters calls read until it returns no *UnverifiedError, for at most writerWait.
func awaitWriters(read func() error) error {
	for end := time.Now().Add(writerWait); ; time.Sleep(writerPollInterval) {
		err := read()
		if _, unverified := errors.AsType[*UnverifiedError](err); !unverified || time.Now().After(end) {
			return err
		}
	}
}

// checkNotOpen returns an *UnverifiedError if a process has files without a checksum open for writing.
func checkNotOpen(list []part) error {
	var found []UnverifiedFile
	for _, f := range list {
		if !f.checksummed && openForWriting(f.name) {
			found = append(found, UnverifiedFile{f.name, reasonOpen})
		}
	}
	if len(found) > 0 {
		return &UnverifiedError{found}
	}
	return nil
}
