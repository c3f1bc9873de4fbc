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

// Report is what a run of a plan gives.
type Report struct {
	Command string   `json:"command"`
	Commit  string   `json:"commit"`
	Began   string   `json:"began"`
	Seed    uint64   `json:"seed"`
	Machine Machine  `json:"machine"`
	Sizes   []Size   `json:"sizes"` // as measured
	Figures []Figure `json:"figures"`
	Slopes  []Fit    `json:"slopes"`
	Notes   []string `json:"notes"` // what was refused, void, or could not be measured
}

// Value gives a figure.
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

// JSON gives the report as its file has it.
func (r *Report) JSON() ([]byte, error) {
	text, err := json.MarshalIndent(r, "", "  ")
	return append(text, '\n'), err
}
