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

// times repeats what is written of each index.
func times(n int, text func(i int) string) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(text(i))
	}
	return b.String()
}

func manyTenants(n int, rest string) string {
	return times(n, func(i int) string { return fmt.Sprintf("[[tenant]]\nname = \"t%06d\"\n%s", i, rest) })
}

func manyRoutes(n int) string {
	return times(n, func(i int) string {
		return fmt.Sprintf("[[host.route]]\nprefix = \"/%d/\"\nclass=\"read\"\ncluster=\"c\"\n", i)
	})
}

func manyServers(n int) string {
	return "[cluster]\nname = \"rooms\"\n" + times(n, func(i int) string {
		return fmt.Sprintf("[[endpoint]]\nid = \"s%06d\"\naddress = \"10.%d.%d.%d:80\"\n", i, i>>16, i>>8&255, i&255)
	}) + fmt.Sprintf("[end]\nendpoints = %d\n", n)
}

// allocated gives the bytes that an operation allocates.
func allocated(operation func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	operation()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

func program(text string) error {
	_, err := ParseProgram("x.toml", []byte(text))
	return err
}

func list(text string) error {
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
		"tenants": {func() string { return smallProgram + manyTenants(500_000, "") }, program, "x.toml:500014: tenant: over 250000 tenants", few},
		"tenants in a list": {func() string {
			return "tenant = [\n" + times(400_000, func(int) string { return "{name=\"a\"},\n" }) + "]\n" + smallProgram
		}, program, "x.toml:1: tenant: over 250000 tenants", 256 << 20},
		"tenants of their own": {func() string { return manyTenants(500_000, "") + "[end]\ntenants = 500000\n" }, func(s string) error { _, err := ParseTenants(File{"t.toml", []byte(s)}); return err }, "t.toml:500001: tenant: over 250000 tenants", few},
		"routes":               {func() string { return smallProgram + manyRoutes(200_000) }, program, "x.toml:80010: host.route: over 20000 routes", few},
		"routes in a list": {func() string {
			return smallProgram + "[[host]]\nroute = [" + times(600_000, func(int) string { return "{prefix=\"/a\"}," }) + "]\n"
		}, program, "x.toml: over 1000000 commas and braces", few},
		"servers":              {func() string { return manyServers(150_000) }, list, "rooms.toml:60003: endpoint: over 20000 servers", few},
		"servers, not so many": {func() string { return strings.Replace(manyServers(150_000), "endpoints = 150000", "endpoints = 3", 1) }, list, "rooms.toml:60003: endpoint: over 20000 servers", few},
		"classes": {func() string {
			return smallProgram + times(100_000, func(i int) string { return fmt.Sprintf("[[class]]\nname = \"c%d\"\n", i) })
		}, program, "class: over 64 classes", few},
		"hosts": {func() string { return smallProgram + times(100_000, func(int) string { return "[[host]]\n" }) }, program, "host: over 5000 virtual hosts", few},
		"domains": {func() string {
			return smallProgram + "[[host]]\ndomains = [" + times(100_000, func(int) string { return "\"\"," }) + "]\n"
		}, program, "host.domains: over 50000 domains", 64 << 20},
		"values": {func() string {
			return smallProgram + "[[host]]\ndomains = [" + times(4_000_000, func(int) string { return "\"\"," }) + "]\n"
		}, program, "over 1000000 commas and braces", few},
		"parts of a key": {func() string { return smallProgram + strings.Repeat("a.", 4_000_000) + "a = 1\n" }, program, "x.toml:14: a key of over 1000 parts", few},
		"lists in lists": {func() string { return "a = " + strings.Repeat("[", 4_000_000) }, program, "x.toml:1: arrays and inline tables are nested", 64 << 20},
		"bytes":          {func() string { return strings.Repeat("#", MaxFile+1) }, program, "x.toml: over 16777216 bytes", 24 << 20},
		"unknown keys":   {func() string { return smallProgram + manyTenants(140_000, "qouta_per_s = 20\n") }, program, "x.toml:16: tenant.qouta_per_s: is no known key\n", few},
		"unknown keys in lists": {func() string {
			return smallProgram + "[[host]]\n" + times(20_000, func(int) string { return "[[host.route]]\nrequest = { st = {} }\n" })
		}, program, "x.toml:16: host.route.request.st: is no known key\n", few},
		"unknown tables": {func() string {
			return smallProgram + times(100_000, func(i int) string { return fmt.Sprintf("[[t%d]]\na = 1\n", i) })
		}, program, "x.toml:14: t0: is no known key\n", few},
		"one long unknown key": {func() string { return smallProgram + strings.Repeat("a", 8<<20) + " = 1\n" }, program, "... is no known key", 192 << 20},
		"faults":               {func() string { return smallProgram + manyTenants(140_000, "quota_per_s = -1\n") }, program, "x.toml:16: tenant 1: quota_per_s: -1", 256 << 20},
		"routes without class": {func() string {
			return smallProgram + times(20_000-1, func(int) string { return "[[host.route]]\nprefix = \"/\"\n" })
		}, program, "x.toml:14: host.route 2: class", 64 << 20},
		"faults of domains": {func() string {
			return smallProgram + "[[host]]\ndomains = [" + times(40_000, func(int) string { return "\"\"," }) + "]\n"
		}, program, "1 to 255 bytes", 64 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			text := tc.text()
			var err error
			size := allocated(func() { err = tc.parse(text) })
			if err == nil || !strings.Contains(strings.ReplaceAll(err.Error(), "...: ", "... "), tc.want) {
				t.Fatalf("error %.300v, want %q", err, tc.want)
			}
			if n := len(err.Error()); n > 2*maxProblems*maxProblemLength {
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
	if err := program(smallProgram + manyTenants(MaxTenants, "")); err != nil {
		t.Errorf("tenants: %v", err)
	}
	if err := program(smallProgram + manyTenants(MaxTenants+1, "")); err == nil {
		t.Error("one tenant more")
	}
	if err := program(smallProgram + manyRoutes(route.MaxRoutes-1)); err != nil {
		t.Errorf("routes: %v", err)
	}
	if err := program(smallProgram + manyRoutes(route.MaxRoutes)); err == nil {
		t.Error("one route more")
	}
	if err := list(manyServers(cluster.MaxEndpoints)); err != nil {
		t.Errorf("servers: %v", err)
	}
	if err := list(manyServers(cluster.MaxEndpoints + 1)); err == nil {
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
	text := smallProgram + manyTenants(maxProblems, "qouta_per_s = 20\n")
	err := program(text)
	var list interface{ Unwrap() []error }
	if !errors.As(err, &list) || len(list.Unwrap()) != maxProblems {
		t.Errorf("%v", err)
	}
	upper := strings.NewReplacer("[[tenant]]", "[[TENANT]]", "name =", "Name =").Replace(smallProgram + manyTenants(100, "quota_per_s = 20\n"))
	if err := program(upper); err != nil {
		t.Errorf("letters' case: %v", err)
	}
	if err := program(smallProgram + "[[host.route]]\nprefix = \"/a\"\nclass = \"read\"\ncluster = \"c\"\nrequest = { set = { " +
		times(50, func(i int) string { return fmt.Sprintf("x-%d = \"1\", ", i) }) + "y = \"2\" } }\n"); err != nil {
		t.Errorf("keys of a map: %v", err)
	}
}

// What decoding takes the survey takes: none of the texts here comes near a limit.
func FuzzSurvey(f *testing.F) {
	f.Add(example(f, "yokestall.toml"))
	f.Add([]byte(smallProgram + manyTenants(3, "")))
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
