package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
)

// ReadReport reads the report in the file at path. A field in the file that Report doesn't have is an error.
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
	return r, nil
}
