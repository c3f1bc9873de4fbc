package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// child is the program of these tests' processes: it listens where its configuration says and counts its starts in
// its folder.
func child() {
	if len(os.Args) > 2 && os.Args[1] == asParent {
		parent(os.Args[2])
		return
	}
	path := os.Args[len(os.Args)-1]
	addr, err := os.ReadFile(path)
	if err != nil {
		os.Exit(3)
	}
	f, err := os.OpenFile(path[:len(path)-len("yokestall.toml")]+"starts", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		os.Exit(4)
	}
	f.WriteString("x")
	f.Close()
	http.ListenAndServe(string(addr), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "here") }))
}

func TestMain(m *testing.M) { testutil.MainOr(m, child) }

// What a link loses, holds, breaks, delays and slows is what its kind says, for either direction alone too.
func TestRelay(t *testing.T) {
	target := testutil.Accept(t, func(nc net.Conn) { io.Copy(nc, nc) }) // an echo
	r, err := NewRelay(target)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	echo := func(nc net.Conn, wait time.Duration) error {
		nc.SetDeadline(time.Now().Add(wait))
		if _, err := nc.Write([]byte("hello")); err != nil {
			return err
		}
		got := make([]byte, 5)
		if _, err := io.ReadFull(nc, got); err != nil {
			return err
		}
		if !bytes.Equal(got, []byte("hello")) {
			return fmt.Errorf("%q came back", got)
		}
		return nil
	}
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", r.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		return nc
	}
	const long, short = 20 * time.Second, 50 * time.Millisecond
	nc := dial()
	if err := echo(nc, long); err != nil {
		t.Fatal("a good link:", err)
	}
	for _, l := range []Link{{CutOut: true}, {CutIn: true}} {
		r.Set(l)
		if err := echo(nc, short); !testutil.IsTimeout(err) {
			t.Errorf("%+v: %v, want silence", l, err)
		}
		r.Set(Link{})
		nc.SetDeadline(time.Now().Add(long))
		if _, err := nc.Read(make([]byte, 1)); err == nil || testutil.IsTimeout(err) {
			t.Errorf("%+v: a connection that lost bytes goes on: %v", l, err)
		}
		nc = dial()
		if err := echo(nc, long); err != nil {
			t.Fatalf("after %+v: %v", l, err)
		}
	}
	r.Set(Link{Hold: true})
	if err := echo(nc, short); !testutil.IsTimeout(err) {
		t.Errorf("held: %v", err)
	}
	r.Set(Link{})
	nc.SetDeadline(time.Now().Add(long))
	if _, err := io.ReadFull(nc, make([]byte, 5)); err != nil {
		t.Error("what was held does not come:", err)
	}
	for _, l := range []Link{{Delay: 30 * time.Millisecond}, {Rate: 200}} { // 25 ms a way at 200 bytes a second
		r.Set(l)
		began := time.Now()
		if err := echo(nc, long); err != nil || time.Since(began) < 50*time.Millisecond {
			t.Errorf("%+v: %v after %v", l, err, time.Since(began))
		}
	}
	r.Set(Link{Broken: true})
	if err := echo(nc, long); err == nil || testutil.IsTimeout(err) {
		t.Errorf("broken: %v", err)
	}
	again, err := net.Dial("tcp", r.Addr)
	if err == nil { // else it is reset as it opens
		defer again.Close()
		err = echo(again, long)
	}
	if err == nil || testutil.IsTimeout(err) {
		t.Errorf("broken, a new one: %v", err)
	}
}

// Processes are killed, emptied and stopped as the script says, and all run again when it is over.
func TestScriptOfProcesses(t *testing.T) {
	itself, env := testutil.SelfCommand()
	rig, err := NewRig(t.TempDir(), 3, nil, itself, env)
	if err != nil {
		t.Fatal(err)
	}
	defer rig.Close()
	for _, p := range rig.Processes {
		if err := os.WriteFile(p.Config(), []byte(p.Addr), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := rig.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := rig.Processes[0].Start(t.Context()); err == nil {
		t.Error("started twice")
	}
	began := time.Now()
	rig.Record.Begin(began)
	ms := time.Millisecond
	script := []Fault{
		{From: 10 * ms, To: 60 * ms, Kind: Kill, Nodes: []int{0}},
		{From: 20 * ms, To: 90 * ms, Kind: Kill, Nodes: []int{0}}, // overlaps: dead until the last is over
		{From: 10 * ms, To: 60 * ms, Kind: Empty, Nodes: []int{1}},
		{From: 10 * ms, To: 300 * ms, Kind: Stop, Nodes: []int{2}},
	}
	frozen := make(chan error, 1)
	go func() {
		for rig.Record.Since() < 100*ms { // by the record's clock the third is stopped now, and is for long
			time.Sleep(ms)
		}
		c := http.Client{Timeout: 50 * ms, Transport: &http.Transport{DisableKeepAlives: true}}
		_, err := c.Get("http://" + rig.Processes[2].Addr)
		frozen <- err
	}()
	if err := rig.Play(t.Context(), began, script); err != nil {
		t.Fatal(err)
	}
	if err := <-frozen; err == nil {
		t.Error("a stopped process answered")
	}
	for i, starts := range []string{"xx", "x", "x"} {
		p := rig.Processes[i]
		c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Get("http://" + p.Addr)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if text, err := os.ReadFile(p.Dir + "/starts"); string(text) != starts {
			t.Errorf("process %d: started %q, %v; want %q", i, text, err, starts)
		}
	}
	if n := len(rig.Record.Events()); n != 8 {
		t.Errorf("%d events", n)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := rig.Play(ctx, time.Now(), script); err == nil {
		t.Error("a script goes on when it is over")
	}
}

// The same seed draws the same script, each fault of it can be played, and another seed draws another one.
func TestDraw(t *testing.T) {
	for seed := range uint64(200) {
		script := Draw(seed, 8, 5, 12, time.Minute)
		if !reflect.DeepEqual(script, Draw(seed, 8, 5, 12, time.Minute)) || reflect.DeepEqual(script, Draw(seed+1, 8, 5, 12, time.Minute)) {
			t.Fatalf("seed %d", seed)
		}
		for _, f := range script {
			if err := f.Check(5, 12, time.Minute); err != nil {
				t.Fatalf("seed %d: %v: %v", seed, f, err)
			}
		}
	}
	for _, tc := range []struct {
		f    Fault
		want string
	}{
		{Fault{To: 1, Kind: "bend", Nodes: []int{0}}, "kind: "},
		{Fault{From: 2, To: 1, Kind: Stop, Nodes: []int{0}}, "to: "},
		{Fault{To: 1, Kind: Stop}, "nodes: "},
		{Fault{To: 1, Kind: Stop, Nodes: []int{5}}, "nodes: 5 is not among the 5"},
		{Fault{To: 1, Kind: Cut, Nodes: []int{0}, Servers: []int{-1}}, "servers: -1"},
		{Fault{To: 1, Kind: Stop, Nodes: []int{0}, Servers: []int{1}}, "servers: "},
		{Fault{To: 1, Kind: Delay, Nodes: []int{0}}, "by: "},
		{Fault{To: 1, Kind: Slow, Nodes: []int{0}}, "rate: "},
	} {
		if err := tc.f.Check(5, 12, time.Minute); err == nil || !strings.HasPrefix(err.Error(), tc.want) {
			t.Errorf("%v: %v, want %s", tc.f, err, tc.want)
		}
	}
}

// Each rule is found broken where it is, and a good history has no finding.
func TestJudge(t *testing.T) {
	good := []Event{
		{At: 1, What: Asked, ID: "a.0", Class: 1, By: 100}, {At: 2, What: Came, ID: "a.0", Who: 1}, {At: 3, What: Ran, ID: "a.0", Who: 1},
		{At: 4, What: Answered, ID: "a.0"}, {At: 5, What: Asked, ID: "b.0", Class: 0, By: 100}, {At: 6, What: Told, Who: 1},
		{At: 7, What: Came, ID: "b.0", Who: 1}, {At: 8, What: Ran, ID: "b.0"}, {At: 9, What: Ran, ID: "b.0"}, {At: 10, What: Told, Who: 1, Over: true}, {At: 40, What: Came, ID: "b.0", Who: 1},
	}
	rules := Rules{Unsafe: []bool{false, true}, Grace: 10, Slack: 1}
	if found := Judge(good, rules); len(found) > 0 {
		t.Fatalf("a good history: %v", found)
	}
	for _, tc := range []struct {
		want string
		more []Event
	}{
		{"a second final answer", []Event{{At: 50, What: Answered, ID: "a.0"}}},
		{"an answer to what nobody asked", []Event{{At: 50, What: Answered, ID: "c.0"}}},
		{"an attempt of what nobody asked", []Event{{At: 50, What: Came, ID: "c.0"}}},
		{"an attempt after its client's time", []Event{{At: 102, What: Came, ID: "a.0"}}},
		{"an effect that happened twice", []Event{{At: 50, What: Asked, ID: "a.1", Class: 1, By: 100}, {At: 51, What: Ran, ID: "a.1"}}},
		{"an attempt at a server that drains", []Event{{At: 50, What: Told, Who: 2}, {At: 55, What: Told, Who: 2}, {At: 62, What: Came, ID: "a.0", Who: 2}}},
		{"a cold server pushed over", []Event{{At: 50, What: Fell}}},
	} {
		found := Judge(append(good[:len(good):len(good)], tc.more...), rules)
		if len(found) != 1 || found[0].Rule != tc.want || found[0].ID != "" && len(found[0].History) == 0 {
			t.Errorf("%v, want %q", found, tc.want)
		}
	}
}
