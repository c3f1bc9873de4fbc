package files

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// withXDSFolder adds an [xds] table with the folder xds to the text of a program's file, before its first class.
func withXDSFolder(text string) string {
	return strings.Replace(text, "[[class]]", "[xds]\nfolder = \"xds\"\nclass = \"read\"\n[[class]]", 1)
}

// xdsCluster returns the text of a cluster in xDS form with one endpoint, without the last line "..." of a complete file.
func xdsCluster(name string, port int) string {
	return "\"@type\": type.googleapis.com/envoy.config.cluster.v3.Cluster\n" +
		fmt.Sprintf("name: %s\ntype: STATIC\nload_assignment:\n  endpoints:\n  - lb_endpoints:\n", name) +
		fmt.Sprintf("    - endpoint: {address: {socket_address: {address: 127.0.0.1, port_value: %d}}}\n", port)
}

// Files in xDS form are accepted together with the other files. An incomplete one is rejected.
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
		t.Errorf("clusters of the first version are %+v, want suites with 127.0.0.1:1 and rooms", first.Version.Clusters)
	}
	if got := first.Program.Table.Clusters(); len(got) != 1 || got[0] != "suites" {
		t.Errorf("routes lead to the clusters %v, want only suites", got)
	}
	f.writeFile(file, suites(2)) // without its last line, as a file that was cut off
	f.awaitLog("suites.yaml: is not whole")
	f.awaitPolls(2)
	if len(f.versions) > 0 {
		t.Error("an incomplete file is accepted")
	}
	if _, err := Check(file); err == nil || !strings.Contains(err.Error(), "is not whole") {
		t.Errorf("Check of an incomplete file returned error %v, want one with \"is not whole\"", err)
	}
	f.writeSealed(file, suites(3)+"...\n")
	if c := f.awaitVersion().Version.Clusters["suites"]; c.Endpoints[0].Address != "127.0.0.1:3" {
		t.Errorf("after the change the cluster is %+v, want the address 127.0.0.1:3", c)
	}
	if _, err := Check(file); err != nil {
		t.Errorf("Check of a complete file: %v", err)
	}
}

// While no file changes, files in xDS form are neither read nor parsed. After a change of one of them, all of them are
// parsed; clusters that did not change are the same values.
func TestXDSAtRest(t *testing.T) {
	f := newFixture(t)
	folder := filepath.Join(filepath.Dir(f.path), "xds")
	must(t, os.Mkdir(folder, 0o755))
	f.writeFile(f.path, withXDSFolder(program))
	list := func(name string, port int) {
		f.writeSealed(filepath.Join(folder, name+".yaml"), xdsCluster(name, port)+"...\n")
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
		t.Error("polls read or parsed files though none had changed")
	}
	awaitClockTick(t)
	f.writeSealed(f.roomsFile(), clusterText("", 1, 2, 3, 5))
	if s := r.poll(); s == nil || s.Version.Clusters["suites"] != suites || r.w.parser.parses() != parses+1 {
		t.Error("after a change of a cluster file, the clusters in xDS form are not the same values, or more than one file is parsed")
	}
	awaitClockTick(t)
	list("villas", 3)
	s := r.poll()
	if s == nil || s.Version.Clusters["villas"].Endpoints[0].Address != "127.0.0.1:3" ||
		s.Version.Clusters["suites"] != suites {
		t.Errorf("after a change in xDS form the poll returned %+v; want the new address of villas and the same suites", s)
	}
}

// While the file in xDS form that has the routes is removed to be created anew, the version in force stays.
func TestRoutesDoNotVanish(t *testing.T) {
	f := newFixture(t)
	folder := filepath.Join(filepath.Dir(f.path), "xds")
	must(t, os.Mkdir(folder, 0o755))
	withoutRoutes, _, _ := strings.Cut(program, "[[host]]")
	f.writeFile(f.path, withXDSFolder(withoutRoutes))
	const routes = `{"@type": "type.googleapis.com/envoy.config.route.v3.RouteConfiguration", "name": "main", "virtual_hosts":
		[{"name": "v", "domains": ["*"], "routes": [{"match": {"prefix": "/"}, "route": {"cluster": "rooms"}}]}]}`
	f.writeFile(filepath.Join(folder, "routes.json"), routes)
	r := watchManually(f)
	must(t, os.Remove(filepath.Join(folder, "routes.json")))
	if r.poll() != nil || r.w.verdict.err == nil {
		t.Error("a version without routes is accepted")
	}
}
