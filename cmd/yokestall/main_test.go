package main

import (
	"os"
	"path/filepath"
	"testing"

	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.MainOr(m, main) }

func showLogs(t *testing.T, dir string) {
	logs, _ := filepath.Glob(filepath.Join(dir, "*", "log"))
	for _, l := range logs {
		text, _ := os.ReadFile(l)
		t.Logf("%s: %s", l, text[max(0, len(text)-3000):])
	}
}
