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

// A line through points on a line is that line, with nothing left over; what is off it is left over.
func TestFitLine(t *testing.T) {
	f := FitLine([]Point{{50, 110}, {100, 210}, {400, 810}})
	if f == nil || math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-10) > 1e-9 || f.Residual > 1e-9 || math.Abs(f.R2-1) > 1e-9 {
		t.Errorf("%+v", f)
	}
	f = FitLine([]Point{{0, 1}, {1, 3}, {2, 1}, {3, 3}}) // by hand: y = 0.4 x + 1.4, left over -0.4, 1.2, -1.2, 0.4
	if f == nil || math.Abs(f.Slope-0.4) > 1e-9 || math.Abs(f.Intercept-1.4) > 1e-9 || math.Abs(f.Residual-math.Sqrt(0.8)) > 1e-9 || math.Abs(f.R2-0.2) > 1e-9 || math.Abs(f.Relative-math.Sqrt(0.8)/2) > 1e-9 {
		t.Errorf("%+v", f)
	}
	if f := FitLine([]Point{{5, 1}, {5, 2}}); f != nil {
		t.Errorf("a line through one size: %+v", f)
	}
}

// What is written is read again as it was.
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
		t.Errorf("%s\n%s", a, b)
	}
	if err := os.WriteFile(path, []byte("{\n\"name\": 3}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadFigures(path); err == nil || !strings.HasPrefix(err.Error(), path+":2: ") {
		t.Error(err)
	}
}
