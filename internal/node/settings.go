package node

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"

	"github.com/pelletier/go-toml/v2"
)

const (
	// defaultClientShare is the share of all descriptors that the platform allows for client connections with a request.
	// Once they are in use, the platform rejects new clients before they reach the node.
	defaultClientShare = 1.0 / 3
	minClientShare     = 0.1
	maxSettingsBytes   = 64 << 10
)

// ApplySettings applies the operator's settings file to the configuration. Values that the file leaves out stay unchanged.
// If the file can't be read or any part of it is invalid, the whole configuration stays unchanged; the error names the file
// and the place in it.
func (c *Config) ApplySettings(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxSettingsBytes+1))
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(text) > maxSettingsBytes {
		return fmt.Errorf("settings: %s: the file is over %d bytes", path, maxSettingsBytes)
	}
	if err := c.applySettings(text); err != nil {
		return fmt.Errorf("settings: %s: %w", path, err)
	}
	return nil
}

func (c *Config) applySettings(text []byte) error {
	var file struct {
		Clients struct {
			Part *float64 `toml:"part"`
		} `toml:"clients"`
	}
	if err := toml.Unmarshal(text, &file); err != nil {
		var decodeError *toml.DecodeError
		if errors.As(err, &decodeError) {
			line, column := decodeError.Position()
			return fmt.Errorf("%d:%d: %w", line, column, err)
		}
		return err
	}
	if share := file.Clients.Part; share != nil {
		if math.IsNaN(*share) || *share < minClientShare || *share > 1 {
			return fmt.Errorf("clients.part: %v is not from %v to 1", *share, minClientShare)
		}
		c.ClientShare = *share
	}
	return nil
}
