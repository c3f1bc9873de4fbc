package process

import (
	"encoding/json"
	"fmt"
)

// Figure is one measured value.
type Figure struct {
	Key   string  `json:"key"` // the size's name, a dot, and what was measured
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Report is the result of a run, as its file has it.
type Report struct {
	Command string   `json:"command"` // that made the run
	Commit  string   `json:"commit"`  // of the program
	Began   string   `json:"began"`   // RFC 3339, UTC
	Seed    uint64   `json:"seed"`
	Machine Machine  `json:"machine"`
	Sizes   []Size   `json:"sizes"` // as measured
	Figures []Figure `json:"figures"`
	Slopes  []Fit    `json:"slopes"`
	Notes   []string `json:"notes"` // what was rejected, is unreliable, or could not be measured
}

// Value returns the figure of a key; false: there is none.
func (r *Report) Value(key string) (Figure, bool) {
	for _, f := range r.Figures {
		if f.Key == key {
			return f, true
		}
	}
	return Figure{}, false
}

func (r *Report) note(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

// JSON returns the content of the report's file.
func (r *Report) JSON() ([]byte, error) {
	text, err := json.MarshalIndent(r, "", "  ")
	return append(text, '\n'), err
}
