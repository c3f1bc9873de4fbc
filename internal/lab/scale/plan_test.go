package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokestall/internal/config"
	"yokestall/internal/files"
)

// All plans of the repository are valid, and a node accepts their content.
func TestRepositoryPlans(t *testing.T) {
	paths, err := filepath.Glob("../../../deploy/lab/scale-*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got %d plans (error %v), want at least one", len(paths), err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		p, err := Parse(path, text)
		if err != nil {
			t.Error(err)
			continue
		}
		s := firstSettings
		for _, contradicts := range []bool{false, true} {
			s = s.next(contradicts)
			if _, err := files.Unbundle(p.Content.bundle(2, s)); err != nil {
				t.Errorf("%s: a node rejects the content: %v", path, err)
			}
		}
	}
}

const goodPlan = `name = "good"
sizes = [10, 20]
regions = 2
zones = 3
[[step]]
kind = "idle"
length = "1s"
[[step]]
kind = "restart"
zone = 2
`

// Parse rejects an invalid plan with an error that names the line and the key.
func TestBadPlans(t *testing.T) {
	if _, err := Parse("plan.toml", []byte(goodPlan)); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []struct{ old, new, want string }{
		{`name = "good"`, `name = "Not good"`, `plan.toml:1: name: "Not good"`},
		{`sizes = [10, 20]`, `sizes = [20, 10]`, "plan.toml:2: sizes: 10 is not greater than the preceding size 20"},
		{`sizes = [10, 20]`, `sizes = [0]`, "plan.toml:2: sizes: 0 is not from 1 to 4000"},
		{`sizes = [10, 20]`, `sizes = [4001]`, "plan.toml:2: sizes: 4001 is not from 1 to 4000"},
		{`sizes = [10, 20]`, ``, "sizes: there are 0 sizes; from 1 to 16 are allowed"},
		{`sizes = [10, 20]`, `sizes = "all"`, "plan.toml:2"},
		{`regions = 2`, `region = 2`, "plan.toml:3: region: is no known key"},
		{`regions = 2`, `regions = 0`, "plan.toml:3: regions: 0 is not from 1 to 8"},
		{`regions = 2`, `voters = 2`, "plan.toml:3: voters: 2 is not 1, 3, 5 or 7"},
		{`regions = 2`, `per_process = 0`, "plan.toml:3: per_process: 0 is not from 1"},
		{`regions = 2`, `lease = "1ms"`, "plan.toml:3: lease: 1ms is not from 100ms"},
		{`regions = 2`, `drift = nan`, "plan.toml:3: drift: NaN is not from 0"},
		{`zones = 3`, "zones = 3\n[content]\nservers = 0", "content: servers: 0 is not from 1"},
		{`zones = 3`, `zones = 2`, "step 2: zone: 2 is not from 0 to 1"},
		{`kind = "idle"`, `kind = "rest"`, `plan.toml:6: step 1: kind: "rest" is none of`},
		{`kind = "idle"`, `kind = "settings"`, "plan.toml:7: step 1: length: is allowed only in steps of kind idle or apart"},
		{`length = "1s"`, ``, "step 1: length: 0s is not from 100ms"},
		{`length = "1s"`, "length = \"1s\"\ncount = 3", "plan.toml:8: step 1: count: is allowed only in steps of kind settings or list"},
		{`length = "1s"`, "length = \"1s\"\nname = \"restart\"", `step 2: name: "restart" is the name of another step too`},
		{`length = "1s"`, "length = \"1s\"\nstores = \"empty\"", "step 1: stores: is allowed only in steps of kind restart or return"},
		{`zone = 2`, `stores = "new"`, `"new" is neither kept nor empty`},
		{`zone = 2`, `share = 1.5`, "step 2: share: 1.5 is not from"},
		{`zone = 2`, "zone = 1\nshare = 0.5", "not both"},
	} {
		text := strings.Replace(goodPlan, bad.old, bad.new, 1)
		if _, err := Parse("plan.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), bad.want) {
			t.Errorf("%s: got error %v, want one with %q", bad.new, err, bad.want)
		}
	}
	const wantRegions = "is allowed only with two or more regions"
	oneRegion := strings.Replace(goodPlan, "regions = 2\n", "", 1) + "[[step]]\nkind = \"apart\"\nlength = \"1s\"\n"
	if _, err := Parse("plan.toml", []byte(oneRegion)); err == nil || !strings.Contains(err.Error(), wantRegions) {
		t.Errorf("a partition of one region: got error %v, want one with %q", err, wantRegions)
	}
	many := strings.Replace(goodPlan, "[10, 20]", "[4000]\nper_process = 10", 1)
	const wantMany = "the largest size needs 403 processes; at most 300 are allowed"
	if _, err := Parse("plan.toml", []byte(many)); err == nil || !strings.Contains(err.Error(), wantMany) {
		t.Errorf("too many processes: got error %v, want one with %q", err, wantMany)
	}
}

// Content that a node would reject fails a run before any process is started.
func TestInvalidContent(t *testing.T) {
	p, err := Parse("plan.toml", []byte(fmt.Sprintf("%s[content]\ntenants = %d\n", goodPlan, config.MaxTenants+1)))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Play(t.Context(), p, Options{Dir: t.TempDir(), Command: []string{"/nothing"}, Progress: t.Logf})
	bound := fmt.Sprintf("over %d tenants", config.MaxTenants)
	if err == nil || !strings.Contains(err.Error(), "content: a node would reject the configuration") ||
		!strings.Contains(err.Error(), bound) {
		t.Errorf("got error %v, want one for the content with %q", err, bound)
	}
}
