package config

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"yokestall/internal/cluster"
)

// readExample returns the content of a file in the directory deploy, which has the examples for operators, without its checksum,
// which it checks, so that tests may change the text.
func readExample(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", name))
	if err != nil {
		t.Fatal(err)
	}
	if err := VerifyChecksum(name, text); err != nil || !HasChecksum(text) {
		t.Fatalf("the example has no checksum, or error %v", err)
	}
	return withoutChecksum(text)
}

// Guards against example files that the program does not accept or parses to other values than they state.
func TestExample(t *testing.T) {
	p, err := ParseProgram("yokestall.toml", readExample(t, "yokestall.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if p.Files.Folder != "clusters" || p.Listener.Connections != 1024 || p.Class("booking-push") != 1 ||
		len(p.Hosts) != 1 || len(p.Hosts[0].Routes) != 2 || p.Limits.MaxRetryAfter.Milliseconds() != 600 {
		t.Errorf("yokestall.toml: got %+v, want the values in the file", p)
	}
	c, err := ParseCluster(File{"clusters/rooms.toml", readExample(t, "clusters/rooms.toml")})
	if err != nil || len(c.Endpoints) != 2 || c.Endpoints[1].Weight != 2 || c.Endpoints[0].Zone != "kigali-room1" {
		t.Errorf("clusters/rooms.toml: got %+v, error %v; want the values in the file", c, err)
	}
}

// Guards against defaults that differ from the values that the example file states as defaults: the file must parse to the
// same settings with each of these keys and without it.
func TestExampleStatesDefaults(t *testing.T) {
	text := string(readExample(t, "yokestall.toml"))
	want, err := ParseProgram("x", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"connections = 1024", "silent = 256", "connections = 2048", `idle = "15s"`, `connect_timeout = "250ms"`,
		"max_removed_share = 0.5", `poll = "1s"`, "attempts = 3", "nodes = 1", "node = 0", "late_worth = 0", `cluster_idle = "2m"`, "memory_mb = 0",
	} {
		without := strings.Replace(text, line, "", 1)
		if without == text {
			t.Errorf("yokestall.toml does not contain %q", line)
		}
		got, err := ParseProgram("x", []byte(without))
		if err != nil || got.Listener != want.Listener || got.Upstream != want.Upstream || got.Files != want.Files ||
			got.ClusterIdle != want.ClusterIdle || got.MemoryLimit != want.MemoryLimit || got.Limits != want.Limits || got.Nodes != want.Nodes || got.Classes[0] != want.Classes[0] {
			t.Errorf("without %s: got %+v, error %v; want the settings of the whole file", line, got, err)
		}
	}
}

// Guards against a truncated cluster file that is accepted, which would remove the endpoints after the cut. The files are cut
// at each byte, also where the rest is valid TOML.
func TestEveryPrefixIsRefused(t *testing.T) {
	whole := readExample(t, "clusters/rooms.toml")
	more := append([]byte(nil), whole...)
	more = bytes.Replace(more, []byte("[end]\nendpoints = 2\n"), nil, 1)
	for i := range 10 { // 12 endpoints, so that a cut within the count leaves another number
		id := string(rune('a' + i))
		more = append(more, "[[endpoint]]\nid = \""+id+"\"\naddress = \"10.0.0.1:"+"80"+string(rune('0'+i))+"\"\n\n"...)
	}
	more = append(more, "[end]\nendpoints = 12\n"...)
	empty := []byte("[cluster]\nno_servers = \"on purpose\"\n\n[end]\nendpoints = 0\n")
	for _, text := range [][]byte{whole, more, empty} {
		if _, err := ParseCluster(File{"rooms.toml", text}); err != nil {
			t.Fatal(err)
		}
		for n := range text {
			if _, err := ParseCluster(File{"rooms.toml", text[:n]}); err == nil {
				t.Errorf("a file truncated to %d of %d bytes was accepted; its end:\n%s", n, len(text), text[max(0, n-60):n])
			}
		}
	}
}

// Guards against invalid cluster files that are accepted, or rejected without the file, the line and the key that are wrong.
func TestClusterFaults(t *testing.T) {
	good := string(readExample(t, "clusters/rooms.toml"))
	replaced := func(former, latter string) string {
		if !strings.Contains(good, former) {
			t.Fatalf("clusters/rooms.toml does not contain %q", former)
		}
		return strings.Replace(good, former, latter, 1)
	}
	for name, c := range map[string]struct{ text, want string }{
		"empty":             {"", "rooms.toml:1: is not whole"},
		"no servers":        {"[cluster]\nname = \"rooms\"\n[end]\nendpoints = 0\n", "names no servers"},
		"other words":       {"[cluster]\nno_servers = \"yes\"\n[end]\nendpoints = 0\n", `rooms.toml:2: no_servers: the only allowed value is "on purpose"`},
		"count too high":    {replaced("endpoints = 2", "endpoints = 3"), "says 3, 2 servers are named"},
		"count too low":     {replaced("endpoints = 2", "endpoints = 1"), "says 1, 2 servers are named"},
		"line behind":       {good + "\n", "is not whole"},
		"unknown key":       {replaced("weight = 2", "wieght = 2"), "rooms.toml:23: endpoint.wieght: is no known key"},
		"unknown table":     {replaced("[end]", "[ende]\nx = 1\n[end]"), "is no known key"},
		"NaN":               {replaced("weight = 2", "weight = nan"), "rooms.toml:23: endpoint 2 (app-2): weight: NaN"},
		"negative":          {replaced("weight = 2", "weight = -2"), "weight: -2"},
		"infinite":          {replaced("weight = 2", "weight = inf"), "weight: +Inf"},
		"huge":              {replaced("weight = 2", "weight = 1e300"), "weight: 1e+300"},
		"port":              {replaced("127.0.0.1:9002", "127.0.0.1:99999"), "rooms.toml:21: endpoint 2 (app-2): address"},
		"duplicate id":      {replaced(`"app-2"`, `"app-1"`), "rooms.toml:20: endpoint 2 (app-1): id: is endpoint 1's too"},
		"duplicate address": {replaced("9002", "9001"), "endpoint 2 (app-2): address: 127.0.0.1:9001 is endpoint 1's too"},
		"duplicate key":     {replaced("weight = 2", "weight = 2\nweight = 3"), "rooms.toml:24"},
		"wrong type":        {replaced("weight = 2", `weight = "2"`), "rooms.toml:23"},
		"health":            {replaced(`"healthy"`, `"fine"`), `rooms.toml:15: health: "fine" is none of`},
		"not UTF-8":         {replaced("app-2", "app-\xff"), "rooms.toml:20: is not UTF-8"},
		"NUL":               {replaced("app-2", "app-\x00"), "rooms.toml:20"},
		"shrink":            {replaced("# shrink_to", "shrink_to"), "shrink_to: says 1 servers, 2 are named"},
		"shrink below 0":    {replaced("# shrink_to = 1", "shrink_to = -1"), "shrink_to: is negative"},
		"large":             {strings.Repeat("#", MaxFileBytes) + good, "over 16777216 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseCluster(File{"rooms.toml", []byte(c.text)})
			if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "rooms.toml") {
				t.Errorf("got error %v, want %q with the file's name in front", err, c.want)
			}
		})
	}
	if _, err := ParseClusters([]File{{"a.toml", []byte(good)}, {"b.toml", []byte(good)}}); err == nil ||
		!strings.Contains(err.Error(), "b.toml: cluster rooms is already defined in a.toml") {
		t.Errorf("two files with the same cluster: got error %v, want one that names both files", err)
	}
	if _, err := ParseClusters(make([]File, MaxFiles+1)); err == nil {
		t.Error("ParseClusters accepted more than MaxFiles files")
	}
	_, err := ParseClusters([]File{{"a.toml", []byte("x")}, {"b.toml", []byte(good)}, {"c.toml", nil}})
	if err == nil || !strings.Contains(err.Error(), "a.toml") || !strings.Contains(err.Error(), "c.toml") {
		t.Errorf("got error %v, want the problems of both a.toml and c.toml", err)
	}
}

// Guards against invalid program files that are accepted, or rejected without the file and the key that are wrong.
func TestProgramFaults(t *testing.T) {
	good := string(readExample(t, "yokestall.toml"))
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown key":      {"silent = 256", "slient = 256", "listen.slient: is no known key"},
		"address":          {`"127.0.0.1:8080"`, `"8080"`, "x.toml:10: listen: address"},
		"port":             {`"127.0.0.1:8080"`, `"127.0.0.1:80800"`, "0 to 65535"},
		"connections":      {"connections = 1024", "connections = 0", "listen: connections: 0"},
		"duration":         {`idle = "15s"`, `idle = "15"`, "x.toml:43"},
		"negative time":    {`idle = "15s"`, `idle = "-15s"`, "upstream: idle"},
		"idle clusters":    {`cluster_idle = "2m"`, `cluster_idle = "10ms"`, "upstream: cluster_idle"},
		"little memory":    {"memory_mb = 0", "memory_mb = 63", "process: memory_mb: 63 is neither 0 nor from 64"},
		"negative memory":  {"memory_mb = 0", "memory_mb = -1", "process: memory_mb: -1"},
		"share":            {"max_removed_share = 0.5", "max_removed_share = nan", "max_removed_share: NaN"},
		"no folder":        {`clusters = "clusters"`, "", "files: clusters: is missing"},
		"attempts":         {"attempts = 3", "attempts = 17", "limits: attempts: 17"},
		"node":             {"node = 0", "node = 1", "fleet: node: 1"},
		"effect":           {`effect = "safe"`, `effect = "pure"`, `class 1: effect: "pure"`},
		"keyed, no window": {`window = "6s"`, "", "class 2: a keyed class needs a window"},
		"deadline":         {`deadline = "1900ms"`, `deadline = "0s"`, "class 2: deadline"},
		"aim":              {`aim = "750ms"`, `aim = "3s"`, "class 2: aim"},
		"class twice":      {`name = "booking-push"`, `name = "avail-read"`, "class 2: name: avail-read is the name of another class"},
		"route's class":    {`class = "booking-push"`, `class = "none"`, `host.route 1: class: "none" is no`},
		"no path":          {`prefix = "/"`, "", "host.route 2: exactly one of path"},
		"two paths":        {`prefix = "/"`, "prefix = \"/\"\nregex = \"/.*\"", "2 are set"},
		"no cluster":       {"cluster = \"rooms\"                       #", "#", "host.route 1: cluster: either"},
		"bad template":     {"/hotels/{hotel}/bookings", "/hotels/{ho/bookings", "route 1 (bookings): template"},
		"domain":           {`domains = ["*"]`, `domains = ["a*b"]`, "one end"},
		"quota":            {"quota_per_s = 80", "quota_per_s = -1", "tenant 1: quota_per_s"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(good, c.old, c.new, 1)
			if text == good {
				t.Fatalf("yokestall.toml does not contain %q", c.old)
			}
			_, err := ParseProgram("x.toml", []byte(text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want %q", err, c.want)
			}
			if err != nil && !regexp.MustCompile(`^x\.toml(:\d+)?: `).MatchString(err.Error()) {
				t.Errorf("error %v does not begin with the file's name and line", err)
			}
		})
	}
	for name, text := range map[string]string{"empty": "", "no TOML": "[", "not UTF-8": "\xff"} {
		if _, err := ParseProgram("x.toml", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), "x.toml") {
			t.Errorf("%s: got error %v, want one that begins with the file's name", name, err)
		}
	}
}

// Guards against cluster files for which ParseCluster panics, accepts a truncated file, accepts an empty list that is not
// marked as intended, or returns an error without the file's name.
func FuzzParseCluster(f *testing.F) {
	f.Add(readExample(f, "clusters/rooms.toml"))
	f.Add([]byte("[cluster]\nno_servers = \"on purpose\"\n[end]\nendpoints = 0\n"))
	f.Add([]byte("[end]\nendpoints = 0\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := ParseCluster(File{"rooms.toml", text})
		if err != nil {
			if !strings.HasPrefix(err.Error(), "rooms.toml") {
				t.Errorf("error %v does not begin with the file's name", err)
			}
			return
		}
		if len(c.Endpoints) == 0 && !c.AllowEmpty {
			t.Error("a file without endpoints and without no_servers was accepted")
		}
		for n := max(0, len(text)-200); n < len(text); n++ {
			if _, err := ParseCluster(File{"rooms.toml", text[:n]}); err == nil {
				t.Errorf("a file truncated to %d of %d bytes was accepted", n, len(text))
			}
		}
		if d := cluster.Diff(c, c); !d.Empty() {
			t.Error("Diff of a cluster with itself is not empty")
		}
	})
}

// Guards against program files for which ParseProgram panics or returns a program without a routing table.
func FuzzParseProgram(f *testing.F) {
	f.Add(readExample(f, "yokestall.toml"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if p, err := ParseProgram("x", text); err == nil && p.Table == nil {
			t.Error("ParseProgram returned a program without a routing table")
		}
	})
}
