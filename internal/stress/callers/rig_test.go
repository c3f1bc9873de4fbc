package callers

import (
	"strings"
	"testing"

	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// TestRun checks that a short run of the rig has no findings.
func TestRun(t *testing.T) {
	var out strings.Builder
	found, err := Run(t.Context(), Options{Requests: 5000, Callers: 16, Out: &out, Log: testutil.DiscardLogger})
	if t.Log(out.String()); err != nil || len(found) > 0 {
		t.Errorf("got findings %v and error %v, want none", found, err)
	}
}
