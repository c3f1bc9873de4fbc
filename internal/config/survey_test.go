package config

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"yokestall/internal/cluster"
	"yokestall/internal/route"
)

// repeat repeats what is written of each index.
func repeat(n int, text func(i int) string) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(text(i))
	}
	return b.String()
}

func manyTenants(n int, rest string) string {
	return repeat(n, func(i int) string { return fmt.Sprintf("[[tenant]]\nname = \"t%06d\"\n%s", i, rest) })
}

func manyRoutes(n int) string {
	return repeat(n, func(i int) string {
		return fmt.Sprintf("[[host.route]]\nprefix = \"/%d/\"\nclass=\"read\"\ncluster=\"c\"\n", i)
	})
}

func manyServers(n int) string {
	return "[cluster]\nname = \"rooms\"\n" + repeat(n, func(i int) string {
		return fmt.Sprintf("[[endpoint]]\nid = \"s%06d\"\naddress = \"10.%d.%d.%d:80\"\n", i, i>>16, i>>8&255, i&255)
	}) + fmt.Sprintf("[end]\nendpoints = %d\n", n)
}

// allocatedBytes gives the bytes that an operation allocates.
func allocatedBytes(operation func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	operation()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

func parseProgramText(text string) error {
	_, err := ParseProgram("x.toml", []byte(text))
	return err
}

func parseClusterText(text string) error {
	_, err := ParseCluster(File{"rooms.toml", []byte(text)})
	return err
}

// What is too much is told by its place and the limit, in a few MB beside the file, however much it is.
func TestTooMuch(t *testing.T) {
	const few = 4 << 20
	for name, tc := range map[string]struct {
		text  func() string
		parse func(text string) error
		want  string
		bytes uint64
	}{
		"tenants": {func() string { return baseProgram + manyTenants(500_000, "") }, parseProgramText, "x.toml:500014: tenant: over 250000 tenants", few},
		"tenants in a list": {func() string {
			return "tenant = [\n" + repeat(400_000, func(int) string { return "{name=\"a\"},\n" }) + "]\n" + baseProgram
		}, parseProgramText, "x.toml:1: tenant: over 250000 tenants", 256 << 20},
		"tenants of their own": {func() string { return manyTenants(500_000, "") + "[end]\ntenants = 500000\n" }, func(s string) error { _, err := ParseTenants(File{"t.toml", []byte(s)}); return err }, "t.toml:500001: tenant: over 250000 tenants", few},
		"routes":               {func() string { return baseProgram + manyRoutes(200_000) }, parseProgramText, "x.toml:80010: host.route: over 20000 routes", few},
		"routes in a list": {func() string {
			return baseProgram + "[[host]]\nroute = [" + repeat(600_000, func(int) string { return "{prefix=\"/a\"}," }) + "]\n"
		}, parseProgramText, "x.toml: over 1000000 commas and braces", few},
		"servers":              {func() string { return manyServers(150_000) }, parseClusterText, "rooms.toml:60003: endpoint: over 20000 servers", few},
		"servers, not so many": {func() string { return strings.Replace(manyServers(150_000), "endpoints = 150000", "endpoints = 3", 1) }, parseClusterText, "rooms.toml:60003: endpoint: over 20000 servers", few},
		"classes": {func() string {
			return baseProgram + repeat(100_000, func(i int) string { return fmt.Sprintf("[[class]]\nname = \"c%d\"\n", i) })
		}, parseProgramText, "class: over 64 classes", few},
		"hosts": {func() string { return baseProgram + repeat(100_000, func(int) string { return "[[host]]\n" }) }, parseProgramText, "host: over 5000 virtual hosts", few},
		"domains": {func() string {
			return baseProgram + "[[host]]\ndomains = [" + repeat(100_000, func(int) string { return "\"\"," }) + "]\n"
		}, parseProgramText, "host.domains: over 50000 domains", 64 << 20},
		"values": {func() string {
			return baseProgram + "[[host]]\ndomains = [" + repeat(4_000_000, func(int) string { return "\"\"," }) + "]\n"
		}, parseProgramText, "over 1000000 commas and braces", few},
		"parts of a key": {func() string { return baseProgram + strings.Repeat("a.", 4_000_000) + "a = 1\n" }, parseProgramText, "x.toml:14: a key of over 1000 parts", few},
		"lists in lists": {func() string { return "a = " + strings.Repeat("[", 4_000_000) }, parseProgramText, "x.toml:1: arrays and inline tables are nested", 64 << 20},
		"bytes":          {func() string { return strings.Repeat("#", MaxFile+1) }, parseProgramText, "x.toml: over 16777216 bytes", 24 << 20},
		"unknown keys":   {func() string { return baseProgram + manyTenants(140_000, "qouta_per_s = 20\n") }, parseProgramText, "x.toml:16: tenant.qouta_per_s: is no known key\n", few},
		"unknown keys in lists": {func() string {
			return baseProgram + "[[host]]\n" + repeat(20_000, func(int) string { return "[[host.route]]\nrequest = { st = {} }\n" })
		}, parseProgramText, "x.toml:16: host.route.request.st: is no known key\n", few},
		"unknown tables": {func() string {
			return baseProgram + repeat(100_000, func(i int) string { return fmt.Sprintf("[[t%d]]\na = 1\n", i) })
		}, parseProgramText, "x.toml:14: t0: is no known key\n", few},
		"one long unknown key": {func() string { return baseProgram + strings.Repeat("a", 8<<20) + " = 1\n" }, parseProgramText, "... is no known key", 192 << 20},
		"faults":               {func() string { return baseProgram + manyTenants(140_000, "quota_per_s = -1\n") }, parseProgramText, "x.toml:16: tenant 1: quota_per_s: -1", 256 << 20},
		"routes without class": {func() string {
			return baseProgram + repeat(20_000-1, func(int) string { return "[[host.route]]\nprefix = \"/\"\n" })
		}, parseProgramText, "x.toml:14: host.route 2: class", 64 << 20},
		"faults of domains": {func() string {
			return baseProgram + "[[host]]\ndomains = [" + repeat(40_000, func(int) string { return "\"\"," }) + "]\n"
		}, parseProgramText, "1 to 255 bytes", 64 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			text := tc.text()
			var err error
			size := allocatedBytes(func() { err = tc.parse(text) })
			if err == nil || !strings.Contains(strings.ReplaceAll(err.Error(), "...: ", "... "), tc.want) {
				t.Fatalf("error %.300v, want %q", err, tc.want)
			}
			if n := len(err.Error()); n > 2*maxProblems*maxProblemBytes {
				t.Errorf("the error has %d bytes", n)
			}
			if most := tc.bytes + uint64(len(text)); size > most { // a copy is the test's
				t.Errorf("%d bytes are allocated, %d at most", size, most)
			}
		})
	}
}

// What is just within the limits is taken.
func TestAtTheLimits(t *testing.T) {
	if err := parseProgramText(baseProgram + manyTenants(MaxTenants, "")); err != nil {
		t.Errorf("tenants: %v", err)
	}
	if err := parseProgramText(baseProgram + manyTenants(MaxTenants+1, "")); err == nil {
		t.Error("one tenant more")
	}
	if err := parseProgramText(baseProgram + manyRoutes(route.MaxRoutes-1)); err != nil {
		t.Errorf("routes: %v", err)
	}
	if err := parseProgramText(baseProgram + manyRoutes(route.MaxRoutes)); err == nil {
		t.Error("one route more")
	}
	if err := parseClusterText(manyServers(cluster.MaxEndpoints)); err != nil {
		t.Errorf("servers: %v", err)
	}
	if err := parseClusterText(manyServers(cluster.MaxEndpoints + 1)); err == nil {
		t.Error("one server more")
	}
	clusters := func(extra int) error {
		names := make([]string, MaxServers/1000+1)
		_, err := GatherClusters(names, func(i int) (*cluster.Config, error) {
			n := 1000
			if i == len(names)-1 {
				n = extra
			}
			return &cluster.Config{Name: fmt.Sprint(i), Endpoints: make([]cluster.Endpoint, n)}, nil
		})
		return err
	}
	if err := clusters(0); err != nil {
		t.Errorf("servers in all: %v", err)
	}
	if err := clusters(1); err == nil || !strings.Contains(err.Error(), "over 100000 servers in all clusters together") {
		t.Errorf("one server more in all: %v", err)
	}
}

// A few unknown keys are told as before, each by its line; letters' case doesn't count, as in decoding.
func TestSurveyLeavesToDecoding(t *testing.T) {
	text := baseProgram + manyTenants(maxProblems, "qouta_per_s = 20\n")
	err := parseProgramText(text)
	var list interface{ Unwrap() []error }
	if !errors.As(err, &list) || len(list.Unwrap()) != maxProblems {
		t.Errorf("%v", err)
	}
	upper := strings.NewReplacer("[[tenant]]", "[[TENANT]]", "name =", "Name =").Replace(baseProgram + manyTenants(100, "quota_per_s = 20\n"))
	if err := parseProgramText(upper); err != nil {
		t.Errorf("letters' case: %v", err)
	}
	if err := parseProgramText(baseProgram + "[[host.route]]\nprefix = \"/a\"\nclass = \"read\"\ncluster = \"c\"\nrequest = { set = { " +
		repeat(50, func(i int) string { return fmt.Sprintf("x-%d = \"1\", ", i) }) + "y = \"2\" } }\n"); err != nil {
		t.Errorf("keys of a map: %v", err)
	}
}

// What decoding takes the survey takes: none of the texts here comes near a limit.
func FuzzSurvey(f *testing.F) {
	f.Add(readExample(f, "yokestall.toml"))
	f.Add([]byte(baseProgram + manyTenants(3, "")))
	f.Add([]byte("host = [{route = [{Header = [{name = \"x\"}], request = {set = {a.b = 1}}}]}]\n[listen]\n\"address\" = 'x'\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) > 1<<16 {
			return
		}
		var p programFile
		d := toml.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		decoded := d.Decode(&p)
		surveyed := survey("x.toml", text, &p, programLimits)
		if decoded == nil && surveyed != nil {
			t.Errorf("decoding takes it, and the survey says %v", surveyed)
		}
	})
}
