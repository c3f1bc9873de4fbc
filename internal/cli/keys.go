package cli

import (
	"log/slog"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/tlskeys"
)

// openKeys opens the keys that the program's file at a path names; nil if it names none.
func openKeys(p *config.Program, path string, log *slog.Logger) (*tlskeys.Store, error) {
	if p.Keys.Folder == "" {
		return nil, nil
	}
	return tlskeys.Open(files.Beside(path, p.Keys.Folder), p.Keys.First, log)
}
