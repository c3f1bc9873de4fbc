package main

import (
	"fmt"
	"strings"
	"time"
)

// changeFile returns a change of a cluster's endpoints, for `yokestall fleet publish --change`.
func changeFile(name string, endpoints ...string) string {
	const file = "[cluster]\nname = %q\nchange = true\n\n%s[end]\nendpoints = %d\n"
	return fmt.Sprintf(file, name, strings.Join(endpoints, ""), len(endpoints))
}

// releaseFile is a release of three of six servers, one after the other.
const releaseFile = `cluster = "rooms"
servers = ["app-1", "app-2", "app-3"]
at_once = 1
floor = 0.5
drain = "2s"
away = "2s"
warm = "1s"
`

// releaseCase: while a release goes on, an operator takes a server out by hand whose turn has not come yet, because it
// answers no more.
func releaseCase(r *rig) {
	w := newWorld(r)
	servers, endpoints := w.startServers(6, sameCell)
	f := r.newFleet([]string{"a", "b", "c"}, "", "")
	f.start()
	f.publish("a", agreedProgram, map[string]string{"rooms": clusterFile("rooms", endpoints...)})
	f.awaitServing("a")
	stop := f.startLoad()
	time.Sleep(2 * time.Second) // an owner is chosen among voters that have had leases for a while
	release := r.write("release.toml", releaseFile)
	if _, err := r.command("yokestall", "release", "-c", f.paths["a"], release); err != nil {
		r.fatalf("release: %v", err)
	}
	time.Sleep(1500 * time.Millisecond)
	broken := servers[2]
	var inForce time.Time
	if r.trouble {
		broken.delay.Store(int64(time.Minute))
		path := r.write("out.toml", changeFile("rooms", broken.endpoint("kigali-room1", 0, "draining")))
		_, err := r.command("yokestall", "fleet", "publish", "-c", f.paths["a"], "--base", "present", "--change", path)
		if err != nil {
			r.fatalf("publish: %v", err)
		}
		inForce = time.Now()
		r.logf("app-3 is out by hand, and that is in force")
	}
	r.await("the end of the release", 60*time.Second, func() bool {
		out, _ := r.command("yokestall", "release", "status", "-c", f.paths["a"])
		return strings.Contains(out, ": done")
	})
	time.Sleep(2 * time.Second)
	unserved := stop()
	if !r.trouble {
		return
	}
	late := broken.arrivalsAfter(inForce.Add(550 * time.Millisecond))
	if len(late) > 0 {
		r.broken("app-3, taken out by hand, got %d new requests, the first (%s) %.2f s after that was in force",
			len(late), late[0].id, late[0].at.Sub(inForce).Seconds())
	}
	lost := 0
	for _, a := range late {
		if unserved[a.id] {
			lost++
		}
	}
	if lost > 0 {
		r.broken("%d of them were payments that their clients got no answer of a server for", lost)
	}
}
