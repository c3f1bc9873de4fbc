package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

// aloneCase: a node loses the majority of the voters while keys are remembered; clients repeat their pushes.
func aloneCase(r *rig) {
	w := newWorld(r)
	_, endpoints := w.startServers(4, ownCells)
	f := r.newFleet([]string{"a", "b", "c"}, "[repeats]\nentries = 10000\n",
		"[fleet.agree.alone]\neffects = \"cautious\"\nroutes = \"serve-last\"\nlists = \"serve-last\"\n")
	f.start()
	f.publish("a", agreedProgram, map[string]string{"rooms": clusterFile("rooms", endpoints...)})
	c := r.newClient("c", f.listens["a"])
	f.awaitServing("a")
	var pushes []request
	for i := range 20 {
		pushes = append(pushes, request{
			method: "POST", path: "/booking", key: fmt.Sprintf("k-%d", i), body: fmt.Sprintf("booking %d", i),
		})
	}
	for _, q := range pushes {
		if _, a := c.do(q); a.status != 200 {
			r.fatalf("a first push was answered %d", a.status)
		}
	}
	if r.trouble {
		f.procs["b"].signal(syscall.SIGKILL)
		f.procs["c"].signal(syscall.SIGKILL)
	}
	time.Sleep(3 * time.Second) // longer than a lease
	for _, q := range slices.Backward(pushes) {
		c.do(q)
	}
	for _, q := range pushes {
		w.checkOnce("/" + q.key)
	}
}
