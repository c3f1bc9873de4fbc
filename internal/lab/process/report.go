package process

import (
	"encoding/json"
	"fmt"
)

// Figure is one measured value.
type Figure struct {
	Key   string  `json:"key"` // name of the size, a dot, and the name of the figure
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Report is the result of a run, in the form of the report's JSON file.
type Report struct {
	Command string   `json:"command"` // command line that started the run
	Commit  string   `json:"commit"`  // commit of the program, see revision
	Began   string   `json:"began"`   // start of the run, RFC 3339 in UTC
	Seed    uint64   `json:"seed"`    // seed of the plan
	Machine Machine  `json:"machine"`
	Sizes   []Size   `json:"sizes"` // measured sizes, with FallbackTenants if the program rejected their own number
	Figures []Figure `json:"figures"`
	Slopes  []Fit    `json:"slopes"`
	Notes   []string `json:"notes"` // notes on rejected configurations, invalid latencies and figures that are missing
}

// Value returns the figure with this key. It returns false if the report doesn't have the figure.
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
