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
	// defaultClientShare is the part of all descriptors that the platform lets clients hold for
	// requests. Where it is taken, new clients are rejected before they reach the node.
	defaultClientShare = 1.0 / 3
	minClientShare     = 0.1
	maxSettingsBytes   = 64 << 10
)

// ApplySettings applies the operator's settings file to the configuration. What the file leaves out
// stays. A file that can't be read and parsed as a whole changes nothing; the error names the place.
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
		return fmt.Errorf("settings: %s: over %d bytes", path, maxSettingsBytes)
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
