package scale

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// FitLine returns the exact line with no residual for points on a line, and the residual of the points' distances
// otherwise. It returns no line for points of a single size.
func TestFitLine(t *testing.T) {
	equal := func(a, b float64) bool { return math.Abs(a-b) <= 1e-9 }
	f := FitLine([]Point{{50, 110}, {100, 210}, {400, 810}})
	if f == nil || !equal(f.Slope, 2) || !equal(f.Intercept, 10) || f.Residual > 1e-9 || !equal(f.R2, 1) {
		t.Errorf("points on a line: got %+v, want slope 2, intercept 10, no residual and R2 1", f)
	}
	f = FitLine([]Point{{0, 1}, {1, 3}, {2, 1}, {3, 3}}) // calculated by hand: y = 0.4 x + 1.4, distances -0.4, 1.2, -1.2, 0.4
	if f == nil || !equal(f.Slope, 0.4) || !equal(f.Intercept, 1.4) || !equal(f.Residual, math.Sqrt(0.8)) ||
		!equal(f.R2, 0.2) || !equal(f.Relative, math.Sqrt(0.8)/2) {
		t.Errorf("points off the line: got %+v, want slope 0.4, intercept 1.4, residual sqrt(0.8) and R2 0.2", f)
	}
	if f := FitLine([]Point{{5, 1}, {5, 2}}); f != nil {
		t.Errorf("points of one size: got line %+v, want none", f)
	}
}

// ReadFigures returns the figures that Write wrote, and its error for an invalid file names the line.
func TestFiguresFile(t *testing.T) {
	f := &Figures{Name: "run", Series: map[string]*Series{}}
	for i, at := range []float64{10, 20, 40} {
		f.add("idle.voter.cpu", "ms/s", at, 3*at+1.23456789+float64(i%2))
		f.add("idle.voter.in", "B/s", at, 0)
	}
	f.finish()
	path := filepath.Join(t.TempDir(), "run.json")
	if err := f.Write(path); err != nil {
		t.Fatal(err)
	}
	read, err := ReadFigures(path)
	if err != nil {
		t.Fatal(err)
	}
	a, _ := json.Marshal(f)
	b, _ := json.Marshal(read)
	if !bytes.Equal(a, b) {
		t.Errorf("wrote %s\nread %s", a, b)
	}
	if err := os.WriteFile(path, []byte("{\n\"name\": 3}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadFigures(path); err == nil || !strings.HasPrefix(err.Error(), path+":2: ") {
		t.Errorf("got error %v, want one for line 2", err)
	}
}
