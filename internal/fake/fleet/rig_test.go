package fleet

import (
	"context"
	"io"
	"net/http"
	"os"
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
	f, err := os.OpenFile(path[:len(path)-len(configName)]+"starts", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		os.Exit(4)
	}
	f.WriteString("x")
	f.Close()
	answer := func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "here") }
	http.ListenAndServe(string(addr), http.HandlerFunc(answer))
}

func TestMain(m *testing.M) { testutil.MainOr(m, child) }

// Processes are killed, erased and paused by the script, and all run again at its end.
func TestApplyFaults(t *testing.T) {
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
		{From: 20 * ms, To: 90 * ms, Kind: Kill, Nodes: []int{0}}, // overlaps: dead until the later one ends
		{From: 10 * ms, To: 60 * ms, Kind: KillAndErase, Nodes: []int{1}},
		{From: 10 * ms, To: 300 * ms, Kind: Pause, Nodes: []int{2}},
	}
	paused := make(chan error, 1)
	go func() {
		for rig.Record.Since() < 100*ms { // the third is paused from before this until long after it
			time.Sleep(ms)
		}
		c := http.Client{Timeout: 50 * ms, Transport: &http.Transport{DisableKeepAlives: true}}
		_, err := c.Get("http://" + rig.Processes[2].Addr)
		paused <- err
	}()
	if err := rig.ApplyFaults(t.Context(), began, script); err != nil {
		t.Fatal(err)
	}
	if err := <-paused; err == nil {
		t.Error("a paused process answered")
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
	if err := rig.ApplyFaults(ctx, time.Now(), script); err == nil {
		t.Error("a script goes on after its context ended")
	}
}
