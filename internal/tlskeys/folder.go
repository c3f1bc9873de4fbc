package tlskeys

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// The limits of a directory of keys.
const (
	MaxFiles     = 1000    // files that are read
	MaxFileBytes = 1 << 20 // bytes of a file
	// maxFolderEntries limits all directory entries, including those that are not read.
	maxFolderEntries = 4 * MaxFiles
)

// The suffixes of file names. NAME.crt has a certificate with its chain and NAME.key its private key, NAME.ca is a bundle of
// root certificates, all in PEM. NAME.tickets has a session ticket key of 64 hexadecimal digits on each line; the first key
// encrypts new tickets.
const (
	certSuffix    = ".crt"
	keySuffix     = ".key"
	rootsSuffix   = ".ca"
	ticketsSuffix = ".tickets"
)

// File is the name of a file, without its directory, and the file's content.
type File struct {
	Name string
	Data []byte
}

// readFolder returns the directory's key files in the order of their names. It truncates the data of a file that is longer than
// MaxFileBytes to MaxFileBytes+1 bytes.
func readFolder(folder string) ([]File, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	if len(entries) > maxFolderEntries {
		return nil, fmt.Errorf("%s: folder has over %d entries", folder, maxFolderEntries)
	}
	var files []File
	for _, e := range entries {
		if !isKeyFile(e.Name()) {
			continue
		}
		if len(files) == MaxFiles {
			return nil, fmt.Errorf("%s: folder has over %d files of keys", folder, MaxFiles)
		}
		data, err := readFile(filepath.Join(folder, e.Name()))
		if err != nil {
			return nil, err
		}
		files = append(files, File{e.Name(), data})
	}
	return files, nil
}

// isKeyFile reports whether the file with this name is read. Hidden files are not read.
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

// readFile returns the content of a regular file, truncated to MaxFileBytes+1 bytes.
func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil || !info.Mode().IsRegular() { // opening a named pipe would block
		return nil, fmt.Errorf("%s: is not a readable regular file", name)
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
