package files

import (
	"fmt"
	"strings"

	"yokestall/internal/config"
)

// Protection says by what a file is known to be complete.
type Protection struct {
	Path     string
	Checksum bool // it has a checksum; otherwise only a running program that sees it renamed into place knows it to be complete
}

// maxNamedFiles is the largest number of files that ProtectionLine names.
const maxNamedFiles = 5

// protections returns the protections of the files of a version.
func protections(v *contents) []Protection {
	var list []Protection
	for _, f := range v.parts() {
		list = append(list, Protection{f.name, f.checksummed})
	}
	return list
}

// BundleProtections returns the protections of the files of a bundle.
func BundleProtections(list []config.File) (protections []Protection) {
	for _, f := range list {
		protections = append(protections, Protection{f.Name, config.HasChecksum(f.Text)})
	}
	return protections
}

// protectionOf returns the protection of a single file. beside is whether its checksum is in a file beside it.
func protectionOf(path string, text []byte, beside bool) []Protection {
	return []Protection{{path, beside || config.HasChecksum(text)}}
}

// ProtectionLine returns a line for operators: which files have a checksum, which don't, and what follows. list must not be
// empty; its first file gives the line its name.
func ProtectionLine(list []Protection) string {
	var without []string
	for _, p := range list {
		if !p.Checksum {
			without = append(without, p.Path)
		}
	}
	if len(without) == 0 {
		return fmt.Sprintf("%s: known to be complete by checksum, with all files that it names", list[0].Path)
	}
	named := strings.Join(without[:min(len(without), maxNamedFiles)], ", ")
	if more := len(without) - maxNamedFiles; more > 0 {
		named += fmt.Sprintf(" and %d more", more)
	}
	return fmt.Sprintf("%s: %d of %d files without a checksum: %s; a running program takes such a file if it sees it renamed "+
		"into place or a link to it swapped; nothing else tells a part of it from the complete file; `%s FILE` adds a checksum",
		list[0].Path, len(without), len(list), named, SealCommand)
}
