package files

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// maxLinks is the largest number of symbolic links that a path may lead through, as in the kernel.
const maxLinks = 40

// resolution says which file a path leads to, and through which references.
type resolution struct {
	file       string      // path without symbolic links; may not exist
	references []reference // in the order in which the path leads through them
}

// reference is a symbolic link that a path leads through, or the setting of the program's file that names the path.
type reference struct {
	referenceKey
	file    string // path of the link or of the program's file, without symbolic links
	changed int64  // ctime of the link or of the program's file, in Unix nanoseconds
}

// referenceKey identifies a reference.
type referenceKey struct {
	path   string // path of the link without symbolic links, or of the program's file as given
	target string // what the link or the setting names
}

// resolver resolves paths. It caches its results, so that it may be used only for a moment.
type resolver struct{ cache map[string]resolution }

// resolve returns the resolution of a path.
func (r *resolver) resolve(path string) (resolution, error) {
	path, err := filepath.Abs(path)
	if err != nil {
		return resolution{}, err
	}
	if path == string(filepath.Separator) {
		return resolution{file: path}, nil
	}
	if to, known := r.cache[path]; known {
		return to, nil
	}
	from, err := r.resolve(filepath.Dir(path))
	if err != nil {
		return resolution{}, err
	}
	to, err := from.follow(filepath.Base(path))
	if err != nil {
		return resolution{}, err
	}
	if r.cache == nil {
		r.cache = map[string]resolution{}
	}
	r.cache[path] = to
	return to, nil
}

// follow returns where a path leads that is relative to the resolved folder, or absolute.
func (r resolution) follow(path string) (resolution, error) {
	out := resolution{file: r.file, references: r.references[:len(r.references):len(r.references)]}
	rest := splitPath(path)
	for len(rest) > 0 {
		next := filepath.Join(out.file, rest[0]) // a component ".." leads to the parent of out.file, which has no links
		rest = rest[1:]
		link, isLink, err := readLink(next)
		if err != nil {
			return resolution{}, err
		}
		if !isLink {
			out.file = next
			continue
		}
		if len(out.references) == maxLinks {
			return resolution{}, fmt.Errorf("%s: %w", path, syscall.ELOOP)
		}
		out.references = append(out.references, link)
		if filepath.IsAbs(link.target) {
			out.file = "/"
		}
		rest = append(splitPath(link.target), rest...)
	}
	return out, nil
}

// splitPath returns the components of a path, without empty ones.
func splitPath(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool { return r == filepath.Separator })
}

// readLink returns the symbolic link at a path. isLink is false if the path is no link or does not exist.
func readLink(path string) (link reference, isLink bool, err error) {
	var st syscall.Stat_t
	switch err := ignoringEINTR(func() error { return syscall.Lstat(path, &st) }); {
	case err == syscall.ENOENT:
		return reference{}, false, nil
	case err != nil:
		return reference{}, false, &os.PathError{Op: "lstat", Path: path, Err: err}
	case st.Mode&syscall.S_IFMT != syscall.S_IFLNK:
		return reference{}, false, nil
	}
	target, err := os.Readlink(path)
	return reference{referenceKey{path, target}, path, st.Ctim.Nano()}, true, err
}

// ignoringEINTR calls a system call until it is not interrupted by a signal.
func ignoringEINTR(call func() error) error {
	for {
		if err := call(); err != syscall.EINTR {
			return err
		}
	}
}
