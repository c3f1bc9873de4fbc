package tlskeys

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// The limits of a folder.
const (
	MaxFiles     = 1000    // with keys
	MaxFileBytes = 1 << 20 // of one file
	// maxFolderEntries bounds the entries of any kind.
	maxFolderEntries = 4 * MaxFiles
)

// The suffixes of file names. NAME.crt and NAME.key are a certificate with its chain and its key, NAME.ca is a bundle
// of root certificates, all in PEM. NAME.tickets has a key of session tickets a line, 64 hexadecimal digits, the first
// of which encrypts new tickets.
const (
	certSuffix    = ".crt"
	keySuffix     = ".key"
	rootsSuffix   = ".ca"
	ticketsSuffix = ".tickets"
)

// File is a file's name, without its folder, and its content.
type File struct {
	Name string
	Data []byte
}

// readFolder returns the folder's files with keys, by name. Data of a file over MaxFileBytes is cut one byte after.
func readFolder(folder string) ([]File, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	if len(entries) > maxFolderEntries {
		return nil, fmt.Errorf("%s: over %d files", folder, maxFolderEntries)
	}
	var files []File
	for _, e := range entries {
		if !isKeyFile(e.Name()) {
			continue
		}
		if len(files) == MaxFiles {
			return nil, fmt.Errorf("%s: over %d files of keys", folder, MaxFiles)
		}
		data, err := readFile(filepath.Join(folder, e.Name()))
		if err != nil {
			return nil, err
		}
		files = append(files, File{e.Name(), data})
	}
	return files, nil
}

// isKeyFile reports whether a file is read, by its name. Hidden files are not.
func isKeyFile(name string) bool {
	if strings.HasPrefix(name, ".") {
		return false
	}
	switch filepath.Ext(name) {
	case certSuffix, keySuffix, rootsSuffix, ticketsSuffix:
		return true
	}
	return false
}

// readFile returns the content of a regular file, cut one byte after MaxFileBytes.
func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil || !info.Mode().IsRegular() { // opening a pipe would block
		return nil, fmt.Errorf("%s: is no file that can be read", name)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return data, nil
}
