package files

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokestall/internal/config"
)

// The size of the largest deployment that the operators plan for.
const (
	planClusters = 500
	planServers  = 30 // endpoints of each cluster
	planRoutes   = 28 // routes to each cluster
	planTenants  = 140_000
)

const planHead = `[listen]
address = "127.0.0.1:0"
[files]
clusters = "clusters"
[fleet]
nodes = 1900
node = 7
zone = "z1"
[[class]]
name = "read"
effect = "safe"
deadline = "1400ms"
aim = "580ms"
[[class]]
name = "push"
effect = "keyed"
scope = "all"
window = "6s"
deadline = "1900ms"
`

// planProgram returns the text of a program's file with planRoutes routes to each of planClusters clusters.
func planProgram(tenants int) string {
	var b strings.Builder
	b.WriteString(planHead)
	b.WriteString(tenantsText(tenants, 20))
	for h := range planClusters {
		fmt.Fprintf(&b, "[[host]]\nname = \"svc-%03d\"\ndomains = [\"svc-%03d.example\"]\n", h, h)
		for r := range planRoutes {
			class := "read"
			if r%7 == 0 {
				class = "push"
			}
			fmt.Fprintf(&b, "[[host.route]]\nname = \"r%d\"\nprefix = \"/api/v%d/\"\nclass = %q\ncluster = \"svc-%03d\"\n", r, r, class, h)
		}
	}
	return b.String()
}

// tenantsText returns n [[tenant]] tables. first is the quota of the first tenant, in requests per second.
func tenantsText(n, first int) string {
	var b bytes.Buffer
	for t := range n {
		quota := 20
		if t == 0 {
			quota = first
		}
		fmt.Fprintf(&b, "[[tenant]]\nname = \"tenant-%06d\"\nquota_per_s = %d\n", t, quota)
	}
	return b.String()
}

// planCluster returns the text of the cluster file with index s. weight is the weight of the first endpoint.
func planCluster(s int, weight float64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[cluster]\nname = \"svc-%03d\"\n", s)
	for e := range planServers {
		n := s*planServers + e
		fmt.Fprintf(&b, "[[endpoint]]\nid = \"s%d\"\naddress = \"127.%d.%d.%d:9001\"\nzone = \"z%d\"\ncell = %d\n", n, 1+n>>14, n>>7&127, 1+n&127, e%6, e%3)
		if e == 0 {
			fmt.Fprintf(&b, "weight = %g\n", weight)
		}
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", planServers)
	return b.String()
}

// planFolder writes a configuration of the planned size and returns a Watcher of it and the path of the program's file.
func planFolder(t testing.TB, tenants int) (*Watcher, string) {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "yokestall.toml")
	if err := os.Mkdir(filepath.Join(dir, "clusters"), 0o755); err != nil {
		t.Fatal(err)
	}
	writeConfigFile(t, path, planProgram(tenants))
	for s := range planClusters {
		writeConfigFile(t, filepath.Join(dir, "clusters", fmt.Sprintf("svc-%03d.toml", s)), planCluster(s, 1))
	}
	return planWatcher(t, path), path
}

// writeConfigFile replaces a file by a rename.
func writeConfigFile(t testing.TB, name, text string) {
	t.Helper()
	must(t, os.WriteFile(name+".new", []byte(text), 0o644), os.Rename(name+".new", name))
}

// cpuTime returns the CPU time that the process has used, in user and system mode.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure reports the CPU time of an operation, including that of all threads and of the garbage collector. It does not
// count prepare, which runs before each operation.
func measure(b *testing.B, prepare func(i int), operation func()) {
	b.Helper()
	var used time.Duration
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		prepare(i)
		runtime.GC()
		before := cpuTime()
		b.StartTimer()
		operation()
		b.StopTimer()
		used += cpuTime() - before
		b.StartTimer()
	}
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkPollAtRest measures a poll when no file has changed.
func BenchmarkPollAtRest(b *testing.B) {
	for _, tenants := range []int{1000, planTenants} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			w, _ := planFolder(b, tenants)
			b.ReportAllocs()
			before := cpuTime()
			for b.Loop() {
				if w.poll(true) != nil {
					b.Fatal("a poll returned a version though no file had changed")
				}
			}
			b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkChange measures the poll after a change of one class, one endpoint list or one tenant.
func BenchmarkChange(b *testing.B) {
	for _, tenants := range []int{1000, planTenants} {
		w, path := planFolder(b, tenants)
		text := planProgram(tenants)
		list := filepath.Join(filepath.Dir(path), "clusters", "svc-007.toml")
		for _, change := range []struct {
			name string
			make func(i int)
		}{
			{"list", func(i int) { writeConfigFile(b, list, planCluster(7, float64(2+i%100))) }},
			{"class", func(i int) {
				writeConfigFile(b, path, strings.Replace(text, "1400ms", fmt.Sprintf("%dms", 1400+i%100), 1))
			}},
			{"tenant", func(i int) {
				writeConfigFile(b, path, strings.Replace(text, "per_s = 20", fmt.Sprintf("per_s = %d", 100+i%100), 1))
			}},
			{"tenant-checksum", func(i int) {
				changed := strings.Replace(text, "per_s = 20", fmt.Sprintf("per_s = %d", 300+i%100), 1)
				writeConfigFile(b, path, string(config.AddChecksum([]byte(changed))))
			}},
		} {
			b.Run(fmt.Sprintf("tenants=%d/%s", tenants, change.name), func(b *testing.B) {
				measure(b, func(i int) { change.make(i + 1) }, func() {
					if w.poll(true) == nil {
						b.Fatal("the poll after a change returned no version")
					}
				})
			})
		}
	}
}

// BenchmarkUnbundle measures parsing a version of a fleet that differs from the version before in one class or one
// endpoint list.
func BenchmarkUnbundle(b *testing.B) {
	for _, tenants := range []int{1000, planTenants} {
		text := planProgram(tenants)
		list := []config.File{{Name: ProgramPart, Text: []byte(text)}}
		for s := range planClusters {
			list = append(list, config.File{Name: fmt.Sprintf("svc-%03d.toml", s), Text: []byte(planCluster(s, 1))})
		}
		unbundle := planUnbundle()
		if _, err := unbundle(list); err != nil {
			b.Fatal(err)
		}
		for _, change := range []struct {
			name string
			by   func(i int)
		}{
			{"list", func(i int) { list[8].Text = []byte(planCluster(7, float64(2+i%100))) }},
			{"class", func(i int) {
				list[0].Text = []byte(strings.Replace(text, "1400ms", fmt.Sprintf("%dms", 1400+i%100), 1))
			}},
		} {
			b.Run(fmt.Sprintf("tenants=%d/%s", tenants, change.name), func(b *testing.B) {
				measure(b, func(i int) { change.by(i + 1) }, func() {
					if _, err := unbundle(list); err != nil {
						b.Fatal(err)
					}
				})
			})
		}
	}
}

// BenchmarkChangeOwnTenants is like BenchmarkChange with the tenants in a tenants file.
func BenchmarkChangeOwnTenants(b *testing.B) {
	w, path := planFolder(b, 0)
	tenants := filepath.Join(filepath.Dir(path), "tenants.toml")
	list := filepath.Join(filepath.Dir(path), "clusters", "svc-007.toml")
	text := strings.Replace(planProgram(0), "[files]\n", "[files]\n"+tenantsSetting, 1)
	writeConfigFile(b, tenants, tenantsFile(planTenants, 20))
	writeConfigFile(b, path, text)
	if w.poll(true) == nil {
		b.Fatal("the poll after a change returned no version")
	}
	for _, change := range []struct {
		name string
		make func(i int)
	}{
		{"list", func(i int) { writeConfigFile(b, list, planCluster(7, float64(2+i%100))) }},
		{"class", func(i int) {
			writeConfigFile(b, path, strings.Replace(text, "1400ms", fmt.Sprintf("%dms", 1400+i%100), 1))
		}},
		{"tenant", func(i int) { writeConfigFile(b, tenants, tenantsFile(planTenants, 100+i%100)) }},
	} {
		b.Run(change.name, func(b *testing.B) {
			measure(b, func(i int) { change.make(i + 1) }, func() {
				if w.poll(true) == nil {
					b.Fatal("the poll after a change returned no version")
				}
			})
		})
	}
}
