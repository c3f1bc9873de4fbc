package lab

import (
	"os"
	"path/filepath"
	"testing"

	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// readExperiment reads an experiment from deploy/lab and returns it with the text of its file.
func readExperiment(t testing.TB, name string) (*Experiment, []byte) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "lab", name))
	if err != nil {
		t.Fatal(err)
	}
	e, err := Parse(name, text)
	if err != nil {
		t.Fatal(err)
	}
	return e, text
}
