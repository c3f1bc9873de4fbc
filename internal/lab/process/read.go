package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
)

// ReadReport reads a report's file. A field that a report doesn't have, and a figure that is there twice, are errors.
func ReadReport(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Report{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	seen := map[string]bool{}
	for _, f := range r.Figures {
		if seen[f.Key] {
			return nil, fmt.Errorf("%s: figure %s is there twice", path, f.Key)
		}
		seen[f.Key] = true
	}
	return r, nil
}
