package main

import (
	"os"
	"path/filepath"
	"testing"

	"yokestall/internal/testutil"
)

// TestMain runs the program instead of the tests in processes that were started with testutil.SelfCommand.
func TestMain(m *testing.M) { testutil.MainOr(m, main) }

// logTail is how many bytes at the end of a log showLogs shows.
const logTail = 3000

// showLogs logs the end of each log file of a run's processes. Each process has its own folder in dir.
func showLogs(t *testing.T, dir string) {
	t.Helper()
	logs, _ := filepath.Glob(filepath.Join(dir, "*", "log"))
	for _, l := range logs {
		text, _ := os.ReadFile(l)
		t.Logf("%s: %s", l, text[max(0, len(text)-logTail):])
	}
}
