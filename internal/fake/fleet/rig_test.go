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

// child is the program of the processes in these tests. It listens on the address that is the content of its
// configuration file, and appends an "x" to the file "starts" in its folder at each start.
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

// ApplyFaults kills, erases and pauses processes as its script says, and all processes run again when it returns.
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
		t.Error("starting a running process: got no error, want one")
	}
	began := time.Now()
	rig.Record.Begin(began)
	ms := time.Millisecond
	script := []Fault{
		{From: 10 * ms, To: 60 * ms, Kind: Kill, Nodes: []int{0}},
		{From: 20 * ms, To: 90 * ms, Kind: Kill, Nodes: []int{0}}, // overlaps the first Kill: process 0 is dead until 90 ms
		{From: 10 * ms, To: 60 * ms, Kind: KillAndErase, Nodes: []int{1}},
		{From: 10 * ms, To: 300 * ms, Kind: Pause, Nodes: []int{2}},
	}
	paused := make(chan error, 1)
	go func() {
		for rig.Record.Since() < 100*ms { // process 2 is paused from 10 ms to 300 ms
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
		t.Error("a paused process answered a request, want an error")
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
			t.Errorf("process %d: got file of starts %q, %v; want %q", i, text, err, starts)
		}
	}
	if n := len(rig.Record.Events()); n != 8 {
		t.Errorf("got %d events, want 8: the start and the end of each fault", n)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := rig.ApplyFaults(ctx, time.Now(), script); err == nil {
		t.Error("ApplyFaults with a cancelled context: got no error, want one")
	}
}
