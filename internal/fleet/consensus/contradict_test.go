package consensus

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

const programText = `[listen]
address = "127.0.0.1:0"
[files]
clusters = "clusters"
[limits]
attempts = 3
[fleet]
nodes = 3
[[tenant]]
name = "acme"
quota_per_s = 10
[[class]]
name = "read"
effect = "safe"
deadline = "1s"
[[class]]
name = "push"
effect = "keyed"
scope = "all"
window = "6s"
deadline = "1s"
[[host]]
[[host.route]]
prefix = "/read"
class = "read"
cluster = "rooms"
[[host]]
domains = ["push.example"]
[[host.route]]
prefix = "/"
class = "push"
cluster = "rooms"
`

const clusterText = `[cluster]
name = "rooms"
[[endpoint]]
id = "s-1"
address = "127.0.0.1:9001"
zone = "a"
weight = 1
[[endpoint]]
id = "s-2"
address = "127.0.0.1:9002"
zone = "a"
weight = 1
health = "draining"
[end]
endpoints = 2
`

func version(t *testing.T, program, servers string) *Version {
	t.Helper()
	p, err := config.ParseProgram("p", []byte(program))
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.ParseCluster(config.File{Name: "rooms.toml", Text: []byte(servers)})
	if err != nil {
		t.Fatal(err)
	}
	return &Version{p, map[string]*cluster.Config{c.Name: c}}
}

// changeCases has at least one change of the settings or the endpoint list for each kind of difference.
var changeCases = []struct {
	old, new    string
	want        Kind
	reverseWant Kind // kind of the difference when the change is undone
}{
	{"effect = \"safe\"", "effect = \"unsafe\"", ClassIdempotency, ClassIdempotency},
	{"scope = \"all\"", "scope = \"zone\"", ClassDedupScope, ClassDedupScope},
	{"window = \"6s\"", "window = \"2m\"", ClassDedupWindow, ClassDedupWindow},
	{"deadline = \"1s\"", "deadline = \"2s\"", ClassOtherSettings, ClassOtherSettings},
	{"[[host]]\n[[host.route]]\nprefix = \"/read\"",
		"[[class]]\nname = \"more\"\neffect = \"unsafe\"\ndeadline = \"1s\"\n[[host]]\n[[host.route]]\n" +
			"prefix = \"/read\"", ClassAdded, ClassRemoved},
	{"quota_per_s = 10", "quota_per_s = 20", TenantQuota, TenantQuota},
	{"attempts = 3", "attempts = 2", AttemptLimits, AttemptLimits},
	{"nodes = 3", "nodes = 5", NodeCount, NodeCount},
	{"nodes = 3", "nodes = 3\ncold_for = \"9s\"", SlowStartRules, SlowStartRules},
	{"prefix = \"/\"\n", "prefix = \"/new\"\n", NonIdempotentRoute, NonIdempotentRoute},
	{"prefix = \"/read\"", "prefix = \"/see\"", IdempotentRoute, IdempotentRoute},
	{"address = \"127.0.0.1:9001\"", "address = \"127.0.0.1:9003\"", EndpointMoved, EndpointMoved},
	{"zone = \"a\"\nweight = 1\n[[", "zone = \"a\"\nweight = 1\nstarted_ms = 5\n[[", EndpointStarted, EndpointStarted},
	{"zone = \"a\"\nweight = 1\n[[", "zone = \"b\"\nweight = 1\n[[", EndpointLocality, EndpointLocality},
	{"weight = 1\n[[", "weight = 2\n[[", EndpointWeight, EndpointWeight},
	{"weight = 1\n[[", "weight = 1\nhealth = \"unhealthy\"\n[[", EndpointRemoved, EndpointAdded},
	{"health = \"draining\"", "health = \"healthy\"", EndpointAdded, EndpointRemoved},
	{"id = \"s-1\"", "id = \"s-0\"", EndpointRemoved, EndpointRemoved},
}

// Each kind of difference is found under its own kind, in both directions, and contradicts as the table says. Equal
// versions have no difference.
func TestDifferences(t *testing.T) {
	from := version(t, programText, clusterText)
	if list := Differences(from, version(t, programText, clusterText)); len(list) > 0 {
		t.Fatalf("differences between equal versions: %v, want none", list)
	}
	found := map[Kind]bool{}
	for _, tc := range changeCases {
		to := version(t, strings.Replace(programText, tc.old, tc.new, 1), strings.Replace(clusterText, tc.old, tc.new, 1))
		for _, dir := range []struct {
			list []Difference
			want Kind
		}{{Differences(from, to), tc.want}, {Differences(to, from), tc.reverseWant}} {
			if len(dir.list) == 0 || dir.list[0].Kind != dir.want || Contradicts(dir.list) != DifferenceTable()[dir.want].Contradicts {
				t.Errorf("%q to %q: %v, want %q", tc.old, tc.new, dir.list, DifferenceTable()[dir.want].Description)
			}
			found[dir.want] = true
		}
	}
	for _, row := range DifferenceTable() {
		if !found[row.Kind] {
			t.Errorf("no test case for the kind of difference %q", row.Description)
		}
	}
}

// randomVersion returns a version with a random selection of changeCases.
func randomVersion(t *testing.T, rng *rand.Rand) *Version {
	p, c := programText, clusterText
	for _, tc := range changeCases {
		if rng.IntN(4) == 0 {
			p, c = strings.Replace(p, tc.old, tc.new, 1), strings.Replace(c, tc.old, tc.new, 1)
		}
	}
	return version(t, p, c)
}

// The stricter combination of two versions is not laxer than either of them, whatever differs. Of two versions that
// contradict each other, CheckNotLaxer finds at least one laxer than the other, which shows that the check is effective.
func TestStricter(t *testing.T) {
	rng := rand.New(rand.NewPCG(39, 1))
	laxer := 0
	for range 2000 {
		a, b := randomVersion(t, rng), randomVersion(t, rng)
		joint := Stricter(a, b)
		for _, v := range []*Version{a, b} {
			if err := CheckNotLaxer(joint, v); err != nil {
				t.Fatalf("%v\ndifferences: %v", err, Differences(a, b))
			}
		}
		there, back := CheckNotLaxer(EffectiveVersion{Version: a}, b), CheckNotLaxer(EffectiveVersion{Version: b}, a)
		if Contradicts(Differences(a, b)) && there == nil && back == nil {
			t.Fatalf("versions contradict, but neither is laxer than the other: %v", Differences(a, b))
		}
		if there != nil {
			laxer++
		}
	}
	if laxer < 200 {
		t.Errorf("first version laxer in %d of 2000 pairs, want at least 200", laxer)
	}
	for _, tc := range changeCases { // versions that differ in one kind alone
		a := version(t, programText, clusterText)
		b := version(t, strings.Replace(programText, tc.old, tc.new, 1), strings.Replace(clusterText, tc.old, tc.new, 1))
		if row := DifferenceTable()[tc.want]; row.Contradicts && CheckNotLaxer(EffectiveVersion{Version: a}, b) == nil &&
			CheckNotLaxer(EffectiveVersion{Version: b}, a) == nil {
			t.Errorf("%s: versions contradict, but neither is laxer than the other", row.Description)
		}
	}
}

// docs/agree.md shows the rows of Table.
func TestTableOfDocuments(t *testing.T) {
	text, err := os.ReadFile("../../../docs/agree.md")
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for i, r := range DifferenceTable() {
		if int(r.Kind) != i || i >= int(kindCount) {
			t.Fatalf("row %d has kind %d, want the row's own number, below the number of kinds", i, r.Kind)
		}
		word := "no"
		if r.Contradicts {
			word = "**yes**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s |\n", r.Description, word, r.Reason)
	}
	if len(DifferenceTable()) != int(kindCount) || !strings.Contains(string(text), b.String()) {
		t.Errorf("docs/agree.md does not contain the rows of Table:\n%s", b.String())
	}
}

// BenchmarkDifferences compares two versions of a cluster of 10,000 endpoints that differ in one endpoint's health.
func BenchmarkDifferences(b *testing.B) {
	c := &cluster.Config{Name: "rooms"}
	for i := range 10_000 {
		c.Endpoints = append(c.Endpoints, cluster.Endpoint{ID: fmt.Sprintf("s-%05d", i), Address: "127.0.0.1:9000",
			Weight: 1})
	}
	other := *c
	other.Endpoints = append([]cluster.Endpoint(nil), c.Endpoints...)
	other.Endpoints[77].Health = cluster.Draining
	p := &config.Program{}
	x, y := &Version{p, map[string]*cluster.Config{"rooms": c}}, &Version{p, map[string]*cluster.Config{"rooms": &other}}
	for b.Loop() {
		if list := Differences(x, y); len(list) != 1 {
			b.Fatal(list)
		}
	}
}
