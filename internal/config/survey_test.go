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

// repeat concatenates the texts for the indexes from 0 to n - 1.
func repeat(n int, text func(i int) string) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(text(i))
	}
	return b.String()
}

// manyTenants returns n [[tenant]] tables, each of which ends with rest.
func manyTenants(n int, rest string) string {
	return repeat(n, func(i int) string { return fmt.Sprintf("[[tenant]]\nname = \"t%06d\"\n%s", i, rest) })
}

// manyRoutes returns n valid [[host.route]] tables.
func manyRoutes(n int) string {
	return repeat(n, func(i int) string {
		return fmt.Sprintf("[[host.route]]\nprefix = \"/%d/\"\nclass=\"read\"\ncluster=\"c\"\n", i)
	})
}

// manyServers returns a complete cluster file with n endpoints.
func manyServers(n int) string {
	return "[cluster]\nname = \"rooms\"\n" + repeat(n, func(i int) string {
		return fmt.Sprintf("[[endpoint]]\nid = \"s%06d\"\naddress = \"10.%d.%d.%d:80\"\n", i, i>>16, i>>8&255, i&255)
	}) + fmt.Sprintf("[end]\nendpoints = %d\n", n)
}

// allocatedBytes returns the number of bytes that an operation allocates.
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

// Guards against oversized files that are accepted or rejected only after they are decoded: the error must have the line and
// the limit, must itself be short, and parsing must allocate at most the bytes of the case beside the file's size, however
// large the file is. Decoding alone would hold the whole file in memory.
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
		"parts of a key": {func() string { return baseProgram + strings.Repeat("a.", 4_000_000) + "a = 1\n" }, parseProgramText, "x.toml:14: a key has over 1000 parts", few},
		"lists in lists": {func() string { return "a = " + strings.Repeat("[", 4_000_000) }, parseProgramText, "x.toml:1: arrays and inline tables are nested", 64 << 20},
		"bytes":          {func() string { return strings.Repeat("#", MaxFileBytes+1) }, parseProgramText, "x.toml: over 16777216 bytes", 24 << 20},
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
				t.Fatalf("got error %.300v, want %q", err, tc.want)
			}
			if n := len(err.Error()); n > 2*maxProblems*maxProblemBytes {
				t.Errorf("the error has %d bytes, want at most twice the size of maxProblems problems", n)
			}
			if most := tc.bytes + uint64(len(text)); size > most { // the test itself copies the text once
				t.Errorf("parsing allocated %d bytes, want at most %d", size, most)
			}
		})
	}
}

// Guards against limits that are off by one: a file exactly at a limit must be accepted, one item more must be rejected.
func TestAtTheLimits(t *testing.T) {
	if err := parseProgramText(baseProgram + manyTenants(MaxTenants, "")); err != nil {
		t.Errorf("MaxTenants tenants: got error %v, want none", err)
	}
	if err := parseProgramText(baseProgram + manyTenants(MaxTenants+1, "")); err == nil {
		t.Error("MaxTenants+1 tenants were accepted")
	}
	if err := parseProgramText(baseProgram + manyRoutes(route.MaxRoutes-1)); err != nil {
		t.Errorf("MaxRoutes routes: got error %v, want none", err)
	}
	if err := parseProgramText(baseProgram + manyRoutes(route.MaxRoutes)); err == nil {
		t.Error("MaxRoutes+1 routes were accepted")
	}
	if err := parseClusterText(manyServers(cluster.MaxEndpoints)); err != nil {
		t.Errorf("MaxEndpoints endpoints: got error %v, want none", err)
	}
	if err := parseClusterText(manyServers(cluster.MaxEndpoints + 1)); err == nil {
		t.Error("MaxEndpoints+1 endpoints were accepted")
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
		t.Errorf("MaxServers endpoints in all clusters: got error %v, want none", err)
	}
	if err := clusters(1); err == nil || !strings.Contains(err.Error(), "over 100000 servers in all clusters together") {
		t.Errorf("MaxServers+1 endpoints in all clusters: got error %v, want one with the limit", err)
	}
}

// Guards against a survey that is stricter than decoding: it must leave up to maxProblems unknown keys to decoding, which
// reports each with its line, and must accept keys in any case of letters and any keys of a map.
func TestSurveyLeavesToDecoding(t *testing.T) {
	text := baseProgram + manyTenants(maxProblems, "qouta_per_s = 20\n")
	err := parseProgramText(text)
	var list interface{ Unwrap() []error }
	if !errors.As(err, &list) || len(list.Unwrap()) != maxProblems {
		t.Errorf("got error %v, want maxProblems joined problems", err)
	}
	upper := strings.NewReplacer("[[tenant]]", "[[TENANT]]", "name =", "Name =").Replace(baseProgram + manyTenants(100, "quota_per_s = 20\n"))
	if err := parseProgramText(upper); err != nil {
		t.Errorf("keys in another case of letters: got error %v, want none", err)
	}
	if err := parseProgramText(baseProgram + "[[host.route]]\nprefix = \"/a\"\nclass = \"read\"\ncluster = \"c\"\nrequest = { set = { " +
		repeat(50, func(i int) string { return fmt.Sprintf("x-%d = \"1\", ", i) }) + "y = \"2\" } }\n"); err != nil {
		t.Errorf("keys of a map: got error %v, want none", err)
	}
}

// Guards against a survey that rejects files that decoding accepts. Texts are limited to 64 KiB, so that none of them exceeds a
// limit of the survey.
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
			t.Errorf("the survey rejected a file that decoding accepts: %v", surveyed)
		}
	})
}
