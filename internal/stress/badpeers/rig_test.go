package badpeers

import (
	"strings"
	"testing"

	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// TestRun checks that a short run of all four scenarios has no findings.
func TestRun(t *testing.T) {
	var out strings.Builder
	found, err := Run(t.Context(), Options{
		Requests: 2000, Largest: 4 << 20, Connections: 200, Megabytes: 32, Resets: 5000, Out: &out, Log: testutil.Log(t),
	})
	if t.Log(out.String()); err != nil || len(found) > 0 || strings.Count(out.String(), "\n") != 4 {
		t.Errorf("got findings %v and error %v, want none, and one line of output for each of 4 scenarios", found, err)
	}
}
