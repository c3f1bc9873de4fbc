package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// All plans of the library are read, and a node would take their content.
func TestLibrary(t *testing.T) {
	paths, err := filepath.Glob("../../../deploy/lab/scale-*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("%d plans, %v", len(paths), err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		p, err := Parse(path, text)
		if err != nil {
			t.Error(err)
			continue
		}
		s := first
		for _, contradicts := range []bool{false, true} {
			s = s.next(contradicts)
			if _, err := files.Unbundle(p.Content.bundle(2, s)); err != nil {
				t.Errorf("%s: %v", path, err)
			}
		}
	}
}

const goodPlan = `name = "good"
sizes = [10, 20]
regions = 2
zones = 3
[[step]]
kind = "idle"
length = "1s"
[[step]]
kind = "restart"
zone = 2
`

// What is wrong with a plan is said with its line and key.
func TestBadPlans(t *testing.T) {
	if _, err := Parse("plan.toml", []byte(goodPlan)); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []struct{ old, new, want string }{
		{`name = "good"`, `name = "Not good"`, `plan.toml:1: name: "Not good"`},
		{`sizes = [10, 20]`, `sizes = [20, 10]`, "plan.toml:2: sizes: 10 does not come after 20"},
		{`sizes = [10, 20]`, `sizes = [0]`, "plan.toml:2: sizes: 0 is not from 1 to 4000"},
		{`sizes = [10, 20]`, `sizes = [4001]`, "plan.toml:2: sizes: 4001 is not from 1 to 4000"},
		{`sizes = [10, 20]`, ``, "sizes: 0; from 1 to 16"},
		{`sizes = [10, 20]`, `sizes = "all"`, "plan.toml:2"},
		{`regions = 2`, `region = 2`, "plan.toml:3: region: is no known key"},
		{`regions = 2`, `regions = 0`, "plan.toml:3: regions: 0 is not from 1 to 8"},
		{`regions = 2`, `voters = 2`, "plan.toml:3: voters: 2; 1, 3, 5 or 7 vote"},
		{`regions = 2`, `per_process = 0`, "plan.toml:3: per_process: 0 is not from 1"},
		{`regions = 2`, `lease = "1ms"`, "plan.toml:3: lease: 1ms is not from 100ms"},
		{`regions = 2`, `drift = nan`, "plan.toml:3: drift: NaN is not from 0"},
		{`zones = 3`, "zones = 3\n[content]\nservers = 0", "content: servers: 0 is not from 1"},
		{`zones = 3`, `zones = 2`, "step 2: zone: 2 is not from 0 to 1"},
		{`kind = "idle"`, `kind = "rest"`, `plan.toml:6: step 1: kind: "rest" is none of`},
		{`kind = "idle"`, `kind = "settings"`, "plan.toml:7: step 1: length: is of idle and apart alone"},
		{`length = "1s"`, ``, "step 1: length: 0s is not from 100ms"},
		{`length = "1s"`, "length = \"1s\"\ncount = 3", "plan.toml:8: step 1: count: is of settings and list alone"},
		{`length = "1s"`, "length = \"1s\"\nname = \"restart\"", `step 2: name: "restart" is there twice`},
		{`length = "1s"`, "length = \"1s\"\nstores = \"empty\"", "step 1: stores: is of restart and return alone"},
		{`zone = 2`, `stores = "new"`, `"new" is neither kept nor empty`},
		{`zone = 2`, `share = 1.5`, "step 2: share: 1.5 is not from"},
		{`zone = 2`, "zone = 1\nshare = 0.5", "not both"},
	} {
		text := strings.Replace(goodPlan, bad.old, bad.new, 1)
		if _, err := Parse("plan.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), bad.want) {
			t.Errorf("%s: %v", bad.new, err)
		}
	}
	if _, err := Parse("plan.toml", []byte(strings.Replace(goodPlan, "regions = 2\n", "", 1)+"[[step]]\nkind = \"apart\"\nlength = \"1s\"\n")); err == nil || !strings.Contains(err.Error(), "there is one region") {
		t.Error(err)
	}
	many := strings.Replace(goodPlan, "[10, 20]", "[4000]\nper_process = 10", 1)
	if _, err := Parse("plan.toml", []byte(many)); err == nil || !strings.Contains(err.Error(), "403 processes at the largest size; 300 at most") {
		t.Error(err)
	}
}

// A line through points on a line is that line, with nothing left over; what is off it is left over.
func TestFitLine(t *testing.T) {
	f := FitLine([]Point{{50, 110}, {100, 210}, {400, 810}})
	if f == nil || math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-10) > 1e-9 || f.Residual > 1e-9 || math.Abs(f.R2-1) > 1e-9 {
		t.Errorf("%+v", f)
	}
	f = FitLine([]Point{{0, 1}, {1, 3}, {2, 1}, {3, 3}}) // by hand: y = 0.4 x + 1.4, left over -0.4, 1.2, -1.2, 0.4
	if f == nil || math.Abs(f.Slope-0.4) > 1e-9 || math.Abs(f.Intercept-1.4) > 1e-9 || math.Abs(f.Residual-math.Sqrt(0.8)) > 1e-9 || math.Abs(f.R2-0.2) > 1e-9 || math.Abs(f.Relative-math.Sqrt(0.8)/2) > 1e-9 {
		t.Errorf("%+v", f)
	}
	if f := FitLine([]Point{{5, 1}, {5, 2}}); f != nil {
		t.Errorf("a line through one size: %+v", f)
	}
}

// What is written is read again as it was.
func TestFiguresFile(t *testing.T) {
	f := &Figures{Name: "run", Series: map[string]*Series{}}
	for i, at := range []float64{10, 20, 40} {
		f.add("idle.voter.cpu", "ms/s", at, 3*at+1.23456789+float64(i%2))
		f.add("idle.voter.in", "B/s", at, 0)
	}
	f.finish()
	path := filepath.Join(t.TempDir(), "run.json")
	if err := f.Write(path); err != nil {
		t.Fatal(err)
	}
	read, err := ReadFigures(path)
	if err != nil {
		t.Fatal(err)
	}
	a, _ := json.Marshal(f)
	b, _ := json.Marshal(read)
	if !bytes.Equal(a, b) {
		t.Errorf("%s\n%s", a, b)
	}
	if err := os.WriteFile(path, []byte("{\n\"name\": 3}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadFigures(path); err == nil || !strings.HasPrefix(err.Error(), path+":2: ") {
		t.Error(err)
	}
}

// Times are told by the share of nodes that were no slower.
func TestTimes(t *testing.T) {
	w := &player{rig: &rig{size: 200}, figures: &Figures{Series: map[string]*Series{}}}
	var list []float64
	for i := range 200 {
		list = append(list, float64(200-i))
	}
	w.times(Step{Name: "list"}, "in_force", map[Role][]float64{NodeRole: list, ServeRole: {7}})
	for key, want := range map[string]float64{
		"list.node.in_force_p50": 100, "list.node.in_force_p99": 198, "list.node.in_force_worst": 200, "list.serve.in_force_p50": 7, "list.serve.in_force_p99": 7,
	} {
		if got := w.figures.Series[key].Points[0].Value; got != want {
			t.Errorf("%s is %v, not %v", key, got, want)
		}
	}
}

// Await returns when the last node acts on the version, and names those that don't at its end.
func TestAwait(t *testing.T) {
	s := NewStates()
	s.Start("a", 0, 0)
	s.Start("b", 1, 0)
	on := func(node string, number, pending uint64, alone bool) {
		s.Acted(node, consensus.ActiveVersions{Version: number, PendingVersion: pending}, alone)
	}
	on("a", 3, 0, false)
	on("b", 2, 3, false) // the stricter of both is not yet the version
	ended, stop := context.WithCancel(t.Context())
	stop()
	if list := s.Await(ended, 3); list[0].On(3) != true || list[1].On(3) || list[1].Region != 1 {
		t.Errorf("%+v", list)
	}
	done := make(chan []State)
	go func() { done <- s.Await(t.Context(), 3) }()
	on("b", 3, 0, false)
	list := testutil.Wait(t, done, "both")
	took := list[1].Took
	on("b", 3, 0, true)
	on("b", 3, 0, false) // its lease came back: it took the version before
	if list, on, _ := s.All(3); !on || list[1].Took != took || list[1].At <= took {
		t.Errorf("%+v", list)
	}
	on("b", 3, 0, true)
	if _, on, _ := s.All(3); on {
		t.Error("a node whose lease is over counts")
	}
}

// pair is a connection over loopback whose two ends are counted; the first dials from a region, the second listens in
// region 0.
func pair(t *testing.T, region int) (m *Meter, near, far net.Conn) {
	l := testutil.Listen(t)
	m = NewMeter([]agent.VoterAddress{{Name: "v0", Address: l.Addr().String()}}, 2)
	accepted := make(chan net.Conn)
	go func() {
		c, err := m.Listener(l).Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}()
	near, err := m.Dialer(region)(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far = testutil.Wait(t, accepted, "a connection")
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return m, near, far
}

// Each byte is counted at both ends, and a connection's packets are still there when it is closed.
func TestMeterCounts(t *testing.T) {
	m, near, far := pair(t, 0)
	io.WriteString(near, "12345")
	if _, err := io.ReadFull(far, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	io.WriteString(far, "123")
	if _, err := io.ReadFull(near, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	r, err := m.Report()
	if err != nil {
		t.Fatal(err)
	}
	if r.Dialed.In != 3 || r.Dialed.Out != 5 || r.Accepted.In != 5 || r.Accepted.Out != 3 || r.Dialed.Connections != 1 || r.Accepted.Connections != 1 {
		t.Errorf("%+v", r)
	}
	if r.Dialed.PacketsIn < 2 || r.Dialed.PacketsOut < 2 || r.CPU <= 0 || r.Memory < 1<<20 {
		t.Errorf("%+v", r)
	}
	near.Close()
	far.Close()
	after, _ := m.Report()
	if after.Dialed.PacketsIn < r.Dialed.PacketsIn || after.Accepted.PacketsOut < r.Accepted.PacketsOut || after.Dialed.Out != 5 {
		t.Errorf("%+v after %+v", after, r)
	}
}

// While regions are apart a connection to another one carries nothing and none is made; what waited arrives once they
// are together. One that is closed meanwhile waits for nothing.
func TestMeterApart(t *testing.T) {
	m, near, far := pair(t, 1)
	m.Apart(true)
	m.Apart(true)
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(near, "late")
		written <- err
	}()
	io.WriteString(far, "held")
	ctx, stop := context.WithTimeout(t.Context(), time.Millisecond)
	defer stop()
	if _, err := m.Dialer(1)(ctx, far.LocalAddr().String()); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a connection between regions that are apart: %v", err)
	}
	select {
	case err := <-written:
		t.Errorf("written while apart: %v", err)
	default:
	}
	m.Apart(false)
	if err := testutil.Wait(t, written, "the write"); err != nil {
		t.Error(err)
	}
	b := make([]byte, 4)
	if _, err := io.ReadFull(far, b); err != nil || string(b) != "late" {
		t.Errorf("%q, %v", b, err)
	}
	if _, err := io.ReadFull(near, b); err != nil || string(b) != "held" {
		t.Errorf("%q, %v", b, err)
	}
	m.Apart(true)
	go func() {
		_, err := io.WriteString(near, "never")
		written <- err
	}()
	near.Close()
	if err := testutil.Wait(t, written, "the end"); !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// A process answers commands, refuses those that are not its own, and ends with them, also while it waits for
// something.
func TestControlled(t *testing.T) {
	s := NewStates()
	s.Start("a", 0, 0)
	c := &Controlled{Meter: NewMeter(nil, 1), States: s}
	in, commands := io.Pipe()
	answers, out := io.Pipe()
	ended, gone := make(chan error, 1), make(chan struct{})
	go func() { ended <- c.Serve(t.Context(), in, out, func() { close(gone) }) }()
	e, d := json.NewEncoder(commands), json.NewDecoder(answers)
	read := func() (r Reply) {
		t.Helper()
		if err := d.Decode(&r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	read() // it is ready
	for _, ask := range []struct {
		command Command
		want    string
	}{{Command{Op: OpStop}, "stop: is of hollow nodes alone"}, {Command{Op: "dance"}, "dance: "}} {
		e.Encode(ask.command)
		if r := read(); !strings.Contains(r.Error, ask.want) {
			t.Errorf("%+v", r)
		}
	}
	e.Encode(Command{Op: OpReport})
	if r := read(); r.Error != "" || r.Report.Nodes != 1 || r.Report.CPU <= 0 {
		t.Errorf("%+v", r)
	}
	e.Encode(Command{Op: OpAwait, Number: 9, For: time.Hour})
	commands.Close()
	testutil.Wait(t, gone, "word that who commands is gone")
	read() // what it knew by then
	if err := testutil.Wait(t, ended, "the end"); err != nil {
		t.Error(err)
	}
}

// Content that a node would refuse is refused before anything is started.
func TestRefusedContent(t *testing.T) {
	p, err := Parse("plan.toml", []byte(fmt.Sprintf("%s[content]\ntenants = %d\n", goodPlan, config.MaxTenants+1)))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Play(t.Context(), p, Options{Dir: t.TempDir(), Command: []string{"/nothing"}, Tell: t.Logf})
	if err == nil || !strings.Contains(err.Error(), "content: a node would refuse it") || !strings.Contains(err.Error(), fmt.Sprintf("over %d tenants", config.MaxTenants)) {
		t.Error(err)
	}
}
