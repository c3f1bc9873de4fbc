package files

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// withXDSFolder returns a program's file that takes files in xDS form too, before its first class.
func withXDSFolder(text string) string {
	return strings.Replace(text, "[[class]]", "[xds]\nfolder = \"xds\"\nclass = \"read\"\n[[class]]", 1)
}

// xdsCluster returns a cluster in xDS form with one endpoint, without the line that ends the file.
func xdsCluster(name string, port int) string {
	return "\"@type\": type.googleapis.com/envoy.config.cluster.v3.Cluster\n" +
		fmt.Sprintf("name: %s\ntype: STATIC\nload_assignment:\n  endpoints:\n  - lb_endpoints:\n", name) +
		fmt.Sprintf("    - endpoint: {address: {socket_address: {address: 127.0.0.1, port_value: %d}}}\n", port)
}

// Files in xDS form are taken with the others, whole or not at all.
func TestXDSFolder(t *testing.T) {
	f := newFixture(t)
	folder := filepath.Join(filepath.Dir(f.path), "xds")
	if err := os.Mkdir(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	withoutRoutes, _, _ := strings.Cut(program, "[[host]]")
	f.writeFile(f.path, withXDSFolder(withoutRoutes))
	const routes = `{"@type": "type.googleapis.com/envoy.config.route.v3.RouteConfiguration", "name": "main",
		"virtual_hosts": [{"name": "v", "domains": ["*"],
		"routes": [{"match": {"prefix": "/"}, "route": {"cluster": "suites"}}]}]}`
	suites := func(port int) string { return xdsCluster("suites", port) }
	file := filepath.Join(folder, "suites.yaml")
	f.writeFile(filepath.Join(folder, "routes.json"), routes)
	f.writeFile(file, suites(1)+"...\n")
	first := f.watch()
	c := first.Version.Clusters["suites"]
	if c == nil || c.Endpoints[0].Address != "127.0.0.1:1" || first.Version.Clusters["rooms"] == nil {
		t.Errorf("first %+v", first.Version.Clusters)
	}
	if got := first.Program.Table.Clusters(); len(got) != 1 || got[0] != "suites" {
		t.Errorf("routes lead to %v", got)
	}
	f.writeFile(file, suites(2)) // as half of a longer one may look
	f.awaitLog("suites.yaml: is not whole")
	f.awaitPolls(2)
	if len(f.versions) > 0 {
		t.Error("a part is taken for the whole")
	}
	if _, _, err := Check(file); err == nil || !strings.Contains(err.Error(), "is not whole") {
		t.Errorf("check says %v", err)
	}
	f.writeFile(file, suites(3)+"...\n")
	if c := f.awaitVersion().Version.Clusters["suites"]; c.Endpoints[0].Address != "127.0.0.1:3" {
		t.Errorf("then %+v", c)
	}
	if _, _, err := Check(file); err != nil {
		t.Errorf("check says %v", err)
	}
}

// Files in xDS form at rest are not read, and are read all together where one changes.
func TestXDSAtRest(t *testing.T) {
	f := newFixture(t)
	folder := filepath.Join(filepath.Dir(f.path), "xds")
	must(t, os.Mkdir(folder, 0o755))
	f.writeFile(f.path, withXDSFolder(program))
	list := func(name string, port int) {
		f.writeFile(filepath.Join(folder, name+".yaml"), xdsCluster(name, port)+"...\n")
	}
	list("suites", 1)
	list("villas", 2)
	r := watchManually(f)
	suites := r.w.current.Version.Clusters["suites"]
	reads, parses := r.w.reader.reads, r.w.parser.parses()
	for range 100 {
		r.poll()
	}
	if r.w.reader.reads != reads || r.w.parser.parses() != parses {
		t.Error("files at rest are read or parsed")
	}
	awaitClockTick(t)
	f.writeFile(f.roomsFile(), clusterText("", 1, 2, 3, 5))
	if s := r.poll(); s == nil || s.Version.Clusters["suites"] != suites || r.w.parser.parses() != parses+1 {
		t.Error("a cluster file's change reads those in xDS form")
	}
	awaitClockTick(t)
	list("villas", 3)
	s := r.poll()
	if s == nil || s.Version.Clusters["villas"].Endpoints[0].Address != "127.0.0.1:3" ||
		s.Version.Clusters["suites"] != suites {
		t.Errorf("a change in xDS form: %+v", s)
	}
}
