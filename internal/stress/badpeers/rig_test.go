package badpeers

import (
	"strings"
	"testing"

	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// TestRun plays a short run of the rig.
func TestRun(t *testing.T) {
	var out strings.Builder
	found, err := Run(t.Context(), Options{
		Requests: 2000, Largest: 4 << 20, Connections: 200, Megabytes: 32, Resets: 5000, Out: &out, Log: testutil.Log(t),
	})
	if t.Log(out.String()); err != nil || len(found) > 0 || strings.Count(out.String(), "\n") != 4 {
		t.Errorf("%v, %v", found, err)
	}
}
