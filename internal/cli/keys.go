package cli

import (
	"log/slog"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/tlskeys"
)

// openKeys opens the TLS keys that the configuration file at path refers to. It returns nil if the file has no keys.
func openKeys(p *config.Program, path string, log *slog.Logger) (*tlskeys.Store, error) {
	if p.Keys.Folder == "" {
		return nil, nil
	}
	return tlskeys.Open(files.Beside(path, p.Keys.Folder), p.Keys.First, log)
}
