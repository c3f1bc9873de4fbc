package files

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"yokestall/internal/config"
)

// allocatedBytes returns the number of bytes that an operation allocates.
func allocatedBytes(operation func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	operation()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// largeCluster returns the text of a cluster file with n endpoints.
func largeCluster(n int) string {
	var b strings.Builder
	b.WriteString("[cluster]\n")
	for i := range n {
		fmt.Fprintf(&b, "[[endpoint]]\nid = \"s%06d\"\naddress = \"10.%d.%d.%d:80\"\n", i, i>>16, i>>8&255, i&255)
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", n)
	return b.String()
}

// Files that exceed a limit are rejected with an error that names the place and the limit. The check allocates at
// most as many bytes as the case states, and the last accepted version stays in force.
func TestTooMuch(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(f *fixture, tenants, text string)
		want   string
		bytes  uint64
	}{
		"10 million tenants": {func(f *fixture, tenants, _ string) {
			must(f.t, os.Truncate(tenants, 590_000_000))
		}, "tenants.toml: has 590000000 bytes, and at most 16777216 are allowed", 1 << 20},
		"400,000 tenants": {func(f *fixture, tenants, _ string) {
			f.writeFile(tenants, strings.Repeat("[[tenant]]\nname = \"a\"\n", 400_000)+"[end]\ntenants = 400000\n")
		}, "tenants.toml:500001: tenant: over 250000 tenants", 20 << 20},
		"1,000,000 routes": {func(f *fixture, _, text string) {
			f.writeFile(f.path, text+"[[host]]\ndomains = [\"x\"]\nroute = ["+strings.Repeat("{path=\"/\"},", 1_000_000)+"]\n")
		}, "yokestall.toml: over 1000000 commas and braces of lists and inline tables", 24 << 20},
		"200,000 routes": {func(f *fixture, _, text string) {
			f.writeFile(f.path, text+strings.Repeat("[[host.route]]\nprefix = \"/a\"\nclass = \"read\"\ncluster = \"rooms\"\n", 200_000))
		}, "host.route: over 20000 routes", 24 << 20},
		"150,000 servers": {func(f *fixture, _, _ string) { f.writeFile(f.roomsFile(), largeCluster(150_000)) },
			"rooms.toml:60002: endpoint: over 20000 servers", 20 << 20},
		"5,000 clusters": {func(f *fixture, _, _ string) {
			for i := range 5000 {
				f.writeFile(filepath.Join(f.dir, fmt.Sprintf("c%04d.toml", i)), "")
			}
		}, "clusters: has over 1000 files", 4 << 20},
		"too many bytes in all": {func(f *fixture, _, _ string) {
			for i := range 5 {
				name := filepath.Join(f.dir, fmt.Sprintf("z%d.toml", i))
				f.writeFile(name, "")
				must(f.t, os.Truncate(name, 15<<20))
			}
		}, "z4.toml: the configuration files have over 67108864 bytes together", 70 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			f, tenants, text := newTenantsFixture(t, 5)
			r := watchManually(f)
			before := r.w.current
			awaitClockTick(t)
			tc.change(f, tenants, text)
			var s *Configuration
			bytes := allocatedBytes(func() { s = r.poll() })
			if s != nil || r.w.current != before {
				t.Fatal("a version over a limit is accepted")
			}
			if err := r.w.verdict.err; err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("the files are rejected with error %.300v, want one with %q", err, tc.want)
			}
			if bytes > tc.bytes {
				t.Errorf("the poll allocated %d bytes, want at most %d", bytes, tc.bytes)
			}
			r.poll()
			if n := strings.Count(f.logs.String(), tc.want); n != 1 {
				t.Errorf("the error is logged %d times, want once", n)
			}
		})
	}
}

// The limits hold for versions of a fleet too, including versions that exceed a limit only after their changes.
func TestUnbundleTooMuch(t *testing.T) {
	program := config.File{Name: ProgramPart, Text: []byte(bundledProgram)}
	list := []config.File{program}
	for i := range config.MaxServers / 20_000 {
		list = append(list, config.File{Name: fmt.Sprintf("c%d.toml", i), Text: []byte(largeCluster(20_000))})
	}
	var p Parser
	if _, err := p.Unbundle(list); err != nil {
		t.Fatal(err)
	}
	more := config.File{Name: ChangePart("d", 0), Text: []byte("[cluster]\nname = \"d\"\nchange = true\n[[endpoint]]\nid = \"x\"\naddress = \"10.9.9.9:80\"\n[end]\nendpoints = 1\n")}
	one := config.File{Name: "d.toml", Text: []byte("[cluster]\n[[endpoint]]\nid = \"a\"\naddress = \"10.9.9.8:80\"\n[end]\nendpoints = 1\n")}
	if _, err := p.Unbundle(append(list, one)); err == nil || !strings.Contains(err.Error(), "d.toml: over 100000 servers in all") {
		t.Errorf("one endpoint over the limit: Unbundle returned error %v, want that of too many endpoints", err)
	}
	none := config.File{Name: "d.toml", Text: []byte("[cluster]\nno_servers = \"on purpose\"\n[end]\nendpoints = 0\n")}
	s, err := p.Unbundle(append(list, none))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Change(s.Version.Clusters, []config.File{more}); err == nil || !strings.Contains(err.Error(), "d+0001: the clusters of the version have over 100000 endpoints together") {
		t.Errorf("one endpoint over the limit by a change: Change returned error %v, want that of too many endpoints", err)
	}
	many := []config.File{program}
	for i := range 10 * planClusters {
		many = append(many, config.File{Name: fmt.Sprintf("c%d.toml", i), Text: []byte(roomsList)})
	}
	bytes := allocatedBytes(func() { _, err = Unbundle(many) })
	if err == nil || !strings.Contains(err.Error(), "5000 cluster files; 1000 at most") {
		t.Errorf("5000 clusters: Unbundle returned error %v, want that of too many cluster files", err)
	}
	if bytes > 8<<20 {
		t.Errorf("rejecting 5000 clusters allocated %d bytes, want at most 8 MiB", bytes)
	}
	if again, err := p.Unbundle(append(list, none)); err != nil || again.Version.Clusters["c0"] != s.Version.Clusters["c0"] {
		t.Errorf("after rejected versions the accepted one is parsed again, or Unbundle returned error %v", err)
	}
}
