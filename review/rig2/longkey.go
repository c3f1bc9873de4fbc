package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// longKeyCase: a bad client sends a key of 70,000 bytes, and the program is restarted as planned.
func longKeyCase(r *rig) {
	w := newWorld(r)
	_, endpoints := w.startServers(3, sameCell)
	listen := r.freeAddr()
	r.write("clusters/rooms.toml", clusterFile("rooms", endpoints...))
	program := strings.ReplaceAll(keyedProgram, "LISTEN", listen)
	program = strings.Replace(program, "[upstream]", "max_head_kb = 128\n\n[upstream]", 1)
	program = strings.Replace(program, "entries = 10000\n", "entries = 10000\nlog = \"keys\"\n", 1)
	path := r.write("yokestall.toml", program)
	p := r.start("serve", nil, "yokestall", "serve", "-c", path)
	c := r.newClient("c", listen)
	r.await("the program", 10*time.Second, c.ready)
	push := func(key string) { c.do(request{method: "POST", path: "/booking", key: key, body: "one room"}) }
	for i := range 10 {
		push(fmt.Sprintf("before-%d", i))
	}
	if r.trouble {
		r.logf("a bad client sends a key of 70,000 bytes")
		_, a := r.newClient("bad", listen).doQuietly(request{
			method: "POST", path: "/booking", key: strings.Repeat("k", 70_000), body: "one room",
		})
		r.logf("the bad client got %d", a.status)
	}
	for i := range 10 {
		push(fmt.Sprintf("after-%d", i))
	}
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(10 * time.Second):
		r.fatalf("the program did not end after SIGTERM")
	}
	p = r.start("serve-again", nil, "yokestall", "serve", "-c", path)
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.exited:
			text, _ := os.ReadFile(p.log)
			if strings.Contains(string(text), "address already in use") {
				r.fatalf("another program took the port meanwhile")
			}
			r.broken("the program does not start again: %s", strings.TrimSpace(string(text)))
			return
		default:
		}
		if c.ready() {
			return
		}
	}
	r.broken("the program is not ready 30 s after its restart")
}
