package lab

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"yokestall/internal/fleetsim"
	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

func read(t testing.TB, name string) (*Experiment, []byte) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "lab", name))
	if err != nil {
		t.Fatal(err)
	}
	e, err := Parse(name, text)
	if err != nil {
		t.Fatal(err)
	}
	return e, text
}

// Every day of the library holds what it states.
func TestLibrary(t *testing.T) {
	files, err := filepath.Glob("../../deploy/lab/*.toml")
	if err != nil || len(files) < 10 {
		t.Fatalf("%d days, %v", len(files), err)
	}
	for _, path := range files {
		if strings.HasPrefix(filepath.Base(path), "scale-") { // a plan of internal/lab/scale, which tests that all of them are read
			continue
		}
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			e, _ := read(t, filepath.Base(path))
			o, err := Run(e, "program", fleetsim.Program, 1)
			if err != nil {
				t.Fatal(err)
			}
			if faults := e.Verdict(o); len(faults) > 0 {
				t.Errorf("%v", faults)
			}
		})
	}
}

// The same seeds give the same digest on one core and on all, and another seed another one.
func TestDeterminism(t *testing.T) {
	e, _ := read(t, "half-gone.toml")
	digest := func(seed uint64) string {
		e.Seed = seed
		o, err := Run(e, "program", fleetsim.Program, 2)
		if err != nil {
			t.Fatal(err)
		}
		return o.Digest()
	}
	all := digest(1)
	before := runtime.GOMAXPROCS(1)
	one := digest(1)
	runtime.GOMAXPROCS(before)
	if all != one || digest(5) == all {
		t.Errorf("%s on all cores, %s on one", all, one)
	}
}

// The check on cold servers bites: round robin pushes some over where the program does not.
func TestRoundRobinPushesOver(t *testing.T) {
	e, _ := read(t, "cold-fleet.toml")
	for i := range e.Day.Classes {
		e.Day.Classes[i].Rate *= 3
	}
	e.Day.Length /= 3
	for who, with := range map[string]fleetsim.MakeDecider{"program": fleetsim.Program, "round robin": fleetsim.Peers["round robin"]} {
		o, err := Run(e, who, with, 1)
		if err != nil {
			t.Fatal(err)
		}
		if fell := o.Seeds[0].Fallen; (fell > 0) != (who != "program") {
			t.Errorf("%s: %d fell over", who, fell)
		}
	}
}

// At any number of nodes and at three loads, none of the servers that came back cold is pushed over, and
// service is near the oracle's. A day at another size keeps its load.
func TestSizes(t *testing.T) {
	e, _ := read(t, "cold-fleet.toml")
	e.Day.Length /= 2
	for _, tc := range []struct {
		nodes int
		load  float64
		least float64 // of the oracle's service
	}{{1, 0.24, 0.95}, {10, 0.48, 0.93}, {30, 0.8, 0.9}, {100, 0.24, 0.93}} {
		t.Run(fmt.Sprintf("%d nodes, load %v", tc.nodes, tc.load), func(t *testing.T) {
			t.Parallel()
			at, err := e.At(Size{Nodes: tc.nodes, Servers: 20, Load: tc.load})
			if err != nil {
				t.Fatal(err)
			}
			if l := at.Load(); math.Abs(l-tc.load) > 1e-9 || at.Day.Troubles[0].Last != 19 {
				t.Fatalf("load %v, servers to %d fail", l, at.Day.Troubles[0].Last)
			}
			program, err := Run(at, "program", fleetsim.Program, 2)
			if err != nil {
				t.Fatal(err)
			}
			oracle, err := Run(at, "oracle", fleetsim.Oracle, 2)
			if err != nil {
				t.Fatal(err)
			}
			if broken := append(program.Broken(), oracle.Broken()...); len(broken) > 0 || program.Service() < tc.least*oracle.Service() {
				t.Errorf("service %.4f, the oracle's %.4f; %v", program.Service(), oracle.Service(), broken)
			}
		})
	}
	p, o := &Outcome{Seeds: []*fleetsim.Result{{Tenths: make([]float64, 31)}}}, &Outcome{Seeds: []*fleetsim.Result{{Tenths: make([]float64, 31)}}}
	for i := range 31 {
		o.Seeds[0].Tenths[i], p.Seeds[0].Tenths[i] = 10, min(float64(i), 9.5)
	}
	if got := fmt.Sprint(Recovered(p, o, 0, 0.5, 0.9, 0.99)); got != "[300ms 800ms -1ns]" {
		t.Errorf("recovered after %s", got)
	}
	if _, err := e.At(Size{Nodes: MaxNodes + 1}); err == nil {
		t.Error("too many nodes")
	}
}

// Nodes that lost power with their servers and start with what they knew are better off than blind ones where
// the fleet is the same, and hardly worse off where all of it was replaced by smaller machines. Nobody is
// pushed over either way.
func TestKnowledgeThroughAPowerLoss(t *testing.T) {
	for day, least := range map[string]float64{"power-nodes-too.toml": 0.005, "power-smaller.toml": -0.01} {
		t.Run(day, func(t *testing.T) {
			t.Parallel()
			e, _ := read(t, day)
			service := map[bool]float64{}
			for _, knows := range []bool{false, true} {
				e.Day.Troubles = slices.Clone(e.Day.Troubles)
				for i := range e.Day.Troubles {
					e.Day.Troubles[i].Knows = knows && e.Day.Troubles[i].Nodes
				}
				o, err := Run(e, "program", fleetsim.Program, 4)
				if err != nil {
					t.Fatal(err)
				}
				if broken := o.Broken(); len(broken) > 0 {
					t.Errorf("knows %v: %v", knows, broken)
				}
				service[knows] = o.Service()
			}
			if gain := service[true] - service[false]; gain < least {
				t.Errorf("service %.4f with knowledge and %.4f without: %+.4f, at least %+.4f is wanted", service[true], service[false], gain, least)
			}
		})
	}
}

// A comparison sees a difference that is there, and none where there is none.
func TestCompare(t *testing.T) {
	e, _ := read(t, "one-slow.toml")
	e.Day.Length /= 5
	run := func(with fleetsim.MakeDecider, seed uint64) *Outcome {
		e.Seed = seed
		o, err := Run(e, "", with, 8)
		if err != nil {
			t.Fatal(err)
		}
		return o
	}
	e.Day.Troubles[0].From = 0
	program, random := run(fleetsim.Program, 1), run(fleetsim.Peers["random"], 1)
	if d := Compare(random, program); !d.Seen() || d.Mean < 0 {
		t.Errorf("program over random: %v", d)
	}
	if d := Compare(program, run(fleetsim.Program, 1)); d.Seen() {
		t.Errorf("over itself: %v", d)
	}
}

// A day on sockets, in short: the program, stand-ins by the model and the load generator, with a server that
// dies; the rules hold and each request has one final answer.
func TestReal(t *testing.T) {
	e, _ := read(t, "half-gone.toml")
	e.Day.Length, e.Day.Servers = 2*time.Second, 4
	for i := range e.Day.Classes {
		e.Day.Classes[i].Rate /= 4
	}
	e.Day.Troubles = []fleetsim.Trouble{
		{From: 500 * time.Millisecond, To: 1200 * time.Millisecond, Down: true},
		{From: 600 * time.Millisecond, To: 1500 * time.Millisecond, First: 1, Last: 1, Drain: true},
	}
	o, void, err := Real(t.Context(), e, testutil.Log(t))
	if err != nil {
		t.Fatal(err)
	}
	asked, answered, _ := o.Counts()
	if broken := o.Broken(); len(broken) > 0 || asked == 0 || asked != answered || o.Seeds[0].Sends == 0 {
		t.Errorf("%d asked, %d answered, %v (void %v)", asked, answered, broken, void)
	}
	e.Day.Nodes = 2
	if _, _, err := Real(t.Context(), e, testutil.DiscardLogger); err == nil {
		t.Error("two nodes on sockets")
	}
}

// Bad files are refused by line before anything starts.
func TestBadFiles(t *testing.T) {
	_, good := read(t, "calm.toml")
	for _, tc := range []struct{ old, new, want string }{
		{"servers = 10", "servers = 10\nsevers = 3", "severs: is no known key"},
		{"rate = 800", "rate = -1", "class 1: rate: -1 is not from"},
		{"rate = 800", "rate = 1e9", "class 1: rate: 1e+09 is not from"},
		{"length = \"30s\"", "length = \"24h\"", "requests in all; 50000000 at most"},
		{"effect = \"safe\"", "effect = \"sound\"", `"sound" is none of`},
		{"cores = 4", "cores = 0", "kind: cores: 0 is not from 1"},
		{"[expect]", "[[trouble]]\nfrom = \"5s\"\nto = \"3s\"\ndown = true\n[expect]", "from 5s to 3s is no time of the day"},
		{"[expect]", "[[trouble]]\nfrom = \"5s\"\nto = \"6s\"\nfirst = 8\nlast = 12\ndown = true\n[expect]", "servers 8 to 12 are not among the 10"},
		{"[expect]", "[[trouble]]\nfrom = \"5s\"\nto = \"6s\"\n[expect]", "one of down, drain"},
		{"[expect]", "[[load]]\nat = \"5s\"\nvalue = 1\n[[load]]\nat = \"5s\"\nvalue = 1\n[expect]", "5s is not behind the one before"},
	} {
		text := strings.Replace(string(good), tc.old, tc.new, 1)
		_, err := Parse("x.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), tc.want) || !strings.Contains(err.Error(), "x.toml:") {
			t.Errorf("%s: %v", tc.new, err)
		}
	}
}

func BenchmarkPlay(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e, _ := read(b, "calm.toml")
			e.Day.Servers, e.Day.Length = n, e.Day.Length/30
			events := int64(0)
			for b.Loop() {
				o, err := Run(e, "program", fleetsim.Program, 1)
				if err != nil {
					b.Fatal(err)
				}
				events += o.Seeds[0].Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
