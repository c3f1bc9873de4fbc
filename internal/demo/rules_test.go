package demo

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"yokestall/internal/fake/appbox"
	"yokestall/internal/testutil"
)

// Each violated rule must be found.
func TestCheckRulesFindsViolations(t *testing.T) {
	d := newDemo(Options{Out: &bytes.Buffer{}})
	box := testutil.StartAppServer(t, "box-1")
	d.endpoints = []*appbox.Server{box}
	drainedAt := time.Now()
	d.drainedAt[box.Name] = drainedAt
	e := clusterEndpoint(box)
	d.recordSend("rooms", e.Key(), drainedAt.Add(drainGrace))
	d.recordSend("rooms", e.Key(), drainedAt.Add(drainGrace+1))
	d.counters.requests.Store(3)
	d.counters.served.Store(2)
	d.counters.late.Store(1)
	d.checkRules()
	d.printSummary()
	text := strings.Join(d.result.Violations, "; ")
	for _, want := range []string{
		"3 requests, 2 final answers", "1 answers came after", "only 0 requests reached", "box-1 was sent 1 requests",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("violation %q not found in: %s", want, text)
		}
	}
}
