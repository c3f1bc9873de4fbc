package cli

import (
	"runtime/debug"
	"testing"
)

// The file's limit goes before the one of the start, which holds again once the file has none.
func TestMemoryLimit(t *testing.T) {
	const start, own = 3 << 30, 1 << 30
	before := debug.SetMemoryLimit(start)
	defer debug.SetMemoryLimit(before)
	l := newMemoryLimit()
	for _, c := range []struct{ set, want int64 }{{0, start}, {own, own}, {0, start}} {
		l.set(c.set)
		if got := debug.SetMemoryLimit(-1); got != c.want {
			t.Errorf("with %d in the file the limit is %d, want %d", c.set, got, c.want)
		}
	}
}
