package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
)

// Series is the values of one figure at the sizes of a run. Finish calculates Mean, Max and Fit from Points.
type Series struct {
	Unit     string  `json:"unit"`
	SizeUnit string  `json:"per,omitempty"` // what Point.At counts; "" means hollow nodes
	Points   []Point `json:"points"`
	Mean     float64 `json:"mean"`
	Max      float64 `json:"most"`
	Fit      *Fit    `json:"fit,omitempty"` // nil if the points have fewer than two sizes
}

// Machine describes the machine of a run.
type Machine struct {
	Cores    int    `json:"cores"`
	MemoryMB int64  `json:"memory_mb"`
	System   string `json:"system"`
	Go       string `json:"go"`
	// StoreFileSystem is the type of the file system of the nodes' stores, which all nodes of a run share. On a shared
	// disk the nodes' writes queue, and in memory (tmpfs) writes cost nothing. The cost for a node with its own disk is
	// between the two.
	StoreFileSystem string `json:"stores,omitempty"`
	// LoadAverages are the machine's load averages over the minute before each size. They show the load of other processes,
	// which may run on the machine during the run.
	LoadAverages []float64 `json:"load"`
}

// LateNodes records the nodes that did not act on a version within a step's Timeout.
type LateNodes struct {
	Step     string   `json:"step"`
	Size     int      `json:"size"`
	Count    int      `json:"count"`
	Nodes    []string `json:"nodes"`     // names of the first nodes, at most maxLateNames
	ByRegion []int    `json:"by_region"` // number of late nodes, by region
}

// Figures is the content of a file of figures: the results of a run, or named numbers that a page uses.
type Figures struct {
	Name           string      `json:"name"`
	Description    string      `json:"says,omitempty"`
	Command        string      `json:"command"`
	Plan           string      `json:"plan"` // path of the plan's file
	Seed           uint64      `json:"seed"`
	Sizes          []int       `json:"sizes"`
	Voters         int         `json:"voters"`
	ServeProcesses int         `json:"serves"`
	Regions        int         `json:"regions"`
	Zones          int         `json:"zones"`
	TLS            bool        `json:"tls"`
	Lease          string      `json:"lease"`
	Renew          string      `json:"renew"`
	Content        Content     `json:"content"`
	Machine        Machine     `json:"machine"`
	CounterNotes   string      `json:"counts"` // description of the quantities, for readers of the file
	Late           []LateNodes `json:"untold,omitempty"`
	// Numbers are the named numbers of a file that was not written by a run.
	Numbers map[string]float64 `json:"numbers,omitempty"`
	// Series maps the key of a figure, STEP.ROLE.QUANTITY, to its series.
	Series map[string]*Series `json:"series,omitempty"`
}

// counterNotes describes, in each file of figures, what the quantities count.
const counterNotes = "bytes: what the program reads and writes on its sockets, " +
	"with HTTP/2's frames and, with TLS, its records and handshakes; " +
	"without headers of TCP and IP. packets: TCP's segments, acknowledgements among them, by the kernel's count. " +
	"wire: bytes both ways and 52 a packet (IPv4, TCP and its timestamps; no link's frame). " +
	"messages: of RPCs, each at both of its ends. " +
	"cpu: user and system time of a process by getrusage; " +
	"of a hollow node, its process's divided by the nodes in it"

// add adds a point to the series of a key, and creates the series if it does not exist. at is the size.
func (f *Figures) add(key, unit string, at, value float64) {
	s := f.Series[key]
	if s == nil {
		s = &Series{Unit: unit}
		f.Series[key] = s
	}
	s.Points = append(s.Points, Point{at, value})
}

// finish calls Finish for all series.
func (f *Figures) finish() {
	for _, s := range f.Series {
		s.Finish()
	}
}

// Finish rounds the points and calculates Mean, Max and Fit from the rounded points, so that a reader of the file can
// check them against its points. The series must have a point.
func (s *Series) Finish() {
	total := 0.0
	for i := range s.Points {
		s.Points[i].Value = round(s.Points[i].Value)
		total += s.Points[i].Value
	}
	s.Max = s.Points[0].Value
	for _, p := range s.Points {
		s.Max = max(s.Max, p.Value)
	}
	s.Mean = round(total / float64(len(s.Points)))
	s.Fit = FitLine(s.Points).rounded()
}

// Write writes a file of figures as JSON, with one line for each series.
func (f *Figures) Write(path string) error {
	head := *f
	head.Series = nil
	text, err := json.MarshalIndent(head, "", " ")
	if err != nil {
		return err
	}
	out := bytes.NewBuffer(bytes.TrimSuffix(text, []byte("\n}")))
	separator := ",\n \"series\": {\n"
	for _, key := range slices.Sorted(maps.Keys(f.Series)) {
		line, err := json.Marshal(f.Series[key])
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s  %q: %s", separator, key, line)
		separator = ",\n"
	}
	if len(f.Series) > 0 {
		out.WriteString("\n }")
	}
	out.WriteString("\n}\n")
	return os.WriteFile(path, out.Bytes(), 0o644)
}

// ReadFigures reads a file of figures. It returns an error for an unknown field, and for a series whose mean, maximum or
// fit does not follow from its points. These errors begin with the path and the line.
func ReadFigures(path string) (*Figures, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &Figures{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(f); err != nil {
		return nil, fmt.Errorf("%s:%d: %w", path, lineAt(text, int(d.InputOffset())), err)
	}
	var found []error
	for _, key := range slices.Sorted(maps.Keys(f.Series)) {
		if err := f.Series[key].check(); err != nil {
			at := bytes.Index(text, []byte(strconv.Quote(key)))
			found = append(found, fmt.Errorf("%s:%d: %s: %w", path, lineAt(text, at), key, err))
		}
	}
	return f, errors.Join(found...)
}

// lineAt returns the line number, from 1, of a byte offset in a text.
func lineAt(text []byte, offset int) int {
	return 1 + bytes.Count(text[:max(0, min(offset, len(text)))], []byte("\n"))
}

// approximatelyEqual reports whether two values differ by no more than rounding can cause. scale is the magnitude of the
// values in the series.
func approximatelyEqual(a, b, scale float64) bool {
	return math.Abs(a-b) <= 1e-4*max(math.Abs(a), math.Abs(b))+1e-9*scale
}

// check returns an error if the series has no points, or if Mean, Max or Fit does not follow from the points.
func (s *Series) check() error {
	if len(s.Points) == 0 {
		return errors.New("the series has no points")
	}
	want := &Series{Points: slices.Clone(s.Points)}
	want.Finish()
	if (s.Fit == nil) != (want.Fit == nil) {
		return errors.New("the fit must be present if the points have two or more sizes, and absent otherwise")
	}
	has, wanted := s.derived(), want.derived()
	for i, d := range has {
		if !approximatelyEqual(d.value, wanted[i].value, math.Abs(s.Max)) {
			return fmt.Errorf("%s is %v, but the points give %v", d.name, d.value, wanted[i].value)
		}
	}
	return nil
}

// derived is a named value that follows from the points of a series.
type derived struct {
	name  string
	value float64
}

// derived returns the values that Finish calculates, under their names in the file and in the file's order.
func (s *Series) derived() []derived {
	list := []derived{{"mean", s.Mean}, {"most", s.Max}}
	if f := s.Fit; f != nil {
		list = append(list, []derived{
			{"slope", f.Slope}, {"intercept", f.Intercept}, {"residual", f.Residual}, {"relative", f.Relative}, {"r2", f.R2},
		}...)
	}
	return list
}
