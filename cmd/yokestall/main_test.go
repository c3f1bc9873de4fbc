package main

import (
	"os"
	"path/filepath"
	"testing"

	"yokestall/internal/testutil"
)

// TestMain runs the program itself in processes that the tests start.
func TestMain(m *testing.M) { testutil.MainOr(m, main) }

// logTail is how much of a log showLogs shows, in bytes.
const logTail = 3000

// showLogs logs the ends of the logs of a run's processes, each in its own folder.
func showLogs(t *testing.T, dir string) {
	t.Helper()
	logs, _ := filepath.Glob(filepath.Join(dir, "*", "log"))
	for _, l := range logs {
		text, _ := os.ReadFile(l)
		t.Logf("%s: %s", l, text[max(0, len(text)-logTail):])
	}
}
