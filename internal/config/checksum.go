package config

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"

	"yokestall/internal/cluster"
)

// checksumPrefix begins the first line of a file that has a checksum. The rest of the line is the SHA-256 of all that follows
// the line, in lower-case hexadecimal digits. In TOML and YAML the line is a comment.
const checksumPrefix = "# sha256 of the lines below: "

// checksumMark is the part of checksumPrefix by which a line is taken for a checksum line, whether or not it is complete.
const checksumMark = "# sha256"

// HasChecksum reports whether a file begins with a checksum line, which may be incomplete.
func HasChecksum(text []byte) bool { return bytes.HasPrefix(text, []byte(checksumMark)) }

// VerifyChecksum returns a *cluster.Problem if a file has a checksum that is not that of its content, and nil if the checksum
// matches or there is none. The checksum covers each byte behind the first line and stands before them, so that a file with a
// part of the first line is recognized as well as one that was cut off, or that ends with the bytes of another version.
func VerifyChecksum(name string, text []byte) error {
	if !HasChecksum(text) || bytes.HasPrefix(text, checksumLine(withoutChecksum(text))) {
		return nil
	}
	return &cluster.Problem{Source: name, Line: 1, Field: "sha256",
		Text: "is not whole: the checksum is not that of the lines below; `yokestall seal` writes it anew after an edit"}
}

// joinChecksumProblem returns the problem of VerifyChecksum, if there is one, before err, which a file's content has.
func joinChecksumProblem(name string, text []byte, err error) error {
	if problem := VerifyChecksum(name, text); problem != nil {
		return errors.Join(problem, err)
	}
	return err
}

// AddChecksum returns the file with a checksum line. It replaces the checksum line that the file has.
func AddChecksum(text []byte) []byte {
	content := withoutChecksum(text)
	return slices.Concat(checksumLine(content), content)
}

// checksumLine returns the checksum line of a content that follows it.
func checksumLine(content []byte) []byte {
	return fmt.Appendf(nil, "%s%x\n", checksumPrefix, sha256.Sum256(content))
}

// withoutChecksum returns the content that follows the checksum line; the complete text if there is none.
func withoutChecksum(text []byte) []byte {
	if !HasChecksum(text) {
		return text
	}
	_, content, _ := bytes.Cut(text, []byte("\n"))
	return content
}
