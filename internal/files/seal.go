package files

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/xds/xdsfile"
)

// Seal gives a configuration file a checksum of its present content, so that it is known to be complete wherever it is read. A
// file in TOML or YAML gets it in its first line; one in JSON or binary form in the file beside it. The file is replaced by a
// rename.
// Where its folder does not allow that, it is written in place, which readers recognize by the checksum until it is complete.
//
// Seal changes nothing and returns an error if the file is invalid, or if a process has it open for writing.
func Seal(path string) error {
	to, err := (&resolver{}).resolve(path)
	if err != nil {
		return err
	}
	text, err := ReadAtRest(to.file)
	if err != nil {
		return err
	}
	if openForWriting(to.file) { // ReadAtRest does not look where the file has a checksum, which is that of an earlier version
		return &UnverifiedError{[]UnverifiedFile{{path, reasonOpen}}}
	}
	if ext := filepath.Ext(path); ext == ".json" || ext == ".pb" {
		if err := checkAlone(path, text); err != nil {
			return err
		}
		sum := fmt.Appendf(nil, "%x  %s\n", sha256.Sum256(text), filepath.Base(path))
		return replaceFile(path+xdsfile.ChecksumSuffix, sum, to.file)
	}
	sealed := config.AddChecksum(text)
	if err := checkAlone(path, sealed); err != nil {
		return err
	}
	return replaceFile(to.file, sealed, to.file)
}

// checkAlone checks a file according to its kind, without the files that it names.
func checkAlone(path string, text []byte) (err error) {
	file := config.File{Name: path, Text: text}
	switch {
	case xdsfile.HasExtension(path):
		sum := fmt.Appendf(nil, "%x\n", sha256.Sum256(text))
		return xdsfile.Check([]config.File{file, {Name: path + xdsfile.ChecksumSuffix, Text: sum}})
	case config.IsTenants(text):
		_, err = config.ParseTenants(file)
	case config.IsCluster(text):
		err = config.CheckCluster(file)
	default:
		_, err = config.ParseProgram(path, text)
	}
	return err
}

// replaceFile writes a file with the mode of the file like and puts it at a path by a rename. If the folder does not allow that,
// replaceFile writes the file in place.
func replaceFile(path string, text []byte, like string) error {
	info, err := os.Stat(like)
	if err != nil {
		return err
	}
	next := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".next") // no reader takes a name that begins with a dot
	err = writeSynced(next, text, info.Mode().Perm())
	if err == nil {
		copyOwner(next, info)
		err = os.Rename(next, path)
	}
	if err == nil {
		return nil
	}
	os.Remove(next)
	if errors.Is(err, syscall.EBUSY) || errors.Is(err, fs.ErrPermission) { // a mounted file, or a folder that is not writable
		err = writeSynced(path, text, info.Mode().Perm())
	}
	if err != nil {
		return &cluster.Problem{Source: path, Text: "was not sealed: " + withoutPath(err)}
	}
	return nil
}

// writeSynced writes a file and has the system write it to the disk.
func writeSynced(path string, text []byte, mode fs.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	return errors.Join(err, f.Chmod(mode), f.Sync(), f.Close())
}

// copyOwner gives a file the owner of another one, as far as the process may.
func copyOwner(path string, like fs.FileInfo) {
	if st, ok := like.Sys().(*syscall.Stat_t); ok {
		os.Chown(path, int(st.Uid), int(st.Gid)) // the file is readable to the same users in most cases even if this fails
	}
}
