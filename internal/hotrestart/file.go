package hotrestart

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// replaceFile replaces a file atomically: readers see either the former content or all of the new
// content.
func replaceFile(path string, data []byte) error {
	next := path + ".new"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		os.Remove(next)
		return err
	}
	return os.Rename(next, path)
}

// appendToFile appends a line to an existing file.
func appendToFile(path string, line []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return err
	}
	_, err = file.Write(line)
	return errors.Join(err, file.Close())
}

// readLimited reads a file, and returns an error if the file has more than maxBytes bytes.
func readLimited(path string, maxBytes int) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, int64(maxBytes)+1))
	if err == nil && len(data) > maxBytes {
		return nil, fmt.Errorf("the file has more than %d bytes", maxBytes)
	}
	return data, err
}
