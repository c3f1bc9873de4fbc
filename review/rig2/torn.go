package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// tornRoutes are routes by which bookings with a mark go to servers on trial, and all others to the rooms.
const tornRoutes = `[[class]]
name = "avail-read"
effect = "safe"
deadline = "1400ms"
aim = "580ms"
worth = 2

[[class]]
name = "booking-push"
effect = "keyed"
scope = "all"
window = "6s"
deadline = "1900ms"
aim = "750ms"
worth = 8

[[host]]
name = "rates"
domains = ["*"]

[[host.route]]
name = "bookings on trial"
prefix = "/booking"
methods = ["POST"]
class = "booking-push"
cluster = "trial"

[[host.route.header]]
name = "X-Trial"
exact = "1"

[[host.route]]
name = "bookings"
prefix = "/booking"
methods = ["POST"]
class = "booking-push"
cluster = "rooms"

[[host.route]]
name = "the rest"
prefix = "/"
class = "avail-read"
cluster = "rooms"
`

// tornCase: the program's file is saved in part, and whole a moment later, once for each line of it.
func tornCase(r *rig) {
	rooms, trial := newWorld(r), newWorld(r)
	_, roomServers := rooms.startServers(3, sameCell)
	trialServer := trial.startServer("trial-1", dedupWindow)
	listen := r.freeAddr()
	r.write("clusters/rooms.toml", clusterFile("rooms", roomServers...))
	r.write("clusters/trial.toml", clusterFile("trial", trialServer.endpoint("kigali-room1", 0, "healthy")))
	const settings = "[listen]\naddress = %q\n\n[files]\nclusters = \"clusters\"\npoll = \"500ms\"\n\n[limits]\nattempts = 3\n" +
		"max_retry_after = \"600ms\"\n\n"
	whole := fmt.Sprintf(settings, listen) + tornRoutes
	path := r.write("yokestall.toml", whole)
	r.start("serve", nil, "yokestall", "serve", "-c", path)
	c := r.newClient("c", listen)
	r.await("the program", 10*time.Second, c.ready)
	lines := strings.SplitAfter(whole, "\n")
	for n := range lines {
		part := strings.Join(lines[:n], "")
		if !r.trouble {
			part = whole
		}
		r.must(os.WriteFile(path, []byte(part), 0o600))
		r.logf("saved: %d of %d lines", strings.Count(part, "\n"), strings.Count(whole, "\n"))
		time.Sleep(700 * time.Millisecond) // longer than the poll
		for i := range 5 {
			c.do(request{method: "POST", path: "/booking", key: fmt.Sprintf("k-%d-%d", n, i), body: "one room"})
		}
		r.must(os.WriteFile(path, []byte(whole), 0o600))
		r.logf("saved whole")
		time.Sleep(700 * time.Millisecond)
	}
	trial.mu.Lock()
	defer trial.mu.Unlock()
	if n := len(trial.effects); n > 0 {
		r.broken("%d bookings without the mark X-Trial ran at the servers on trial, where no whole version sends them", n)
	}
}
