package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// keyedProgram is a program's file with a keyed class whose servers drop repeats by cell, and the store of repeats on.
const keyedProgram = `[listen]
address = "LISTEN"

[upstream]
idle = "15s"
connect_timeout = "250ms"

[files]
clusters = "clusters"
tenants = "tenants.toml"
poll = "500ms"

[repeats]
entries = 10000

[limits]
attempts = 3
max_retry_after = "600ms"

[[class]]
name = "avail-read"
effect = "safe"
deadline = "1400ms"

[[class]]
name = "booking-push"
effect = "keyed"
scope = "cell"
window = "6s"
deadline = "1900ms"

[[host]]
domains = ["*"]

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

// tenantsCase: a tenant leaves the tenants' file while keys of the others are remembered. Clients repeat their pushes, and
// other tenants number their first pushes as those did.
func tenantsCase(r *rig) {
	const one, other = "huye-guesthouses", "musanze-inns"
	w := newWorld(r)
	_, endpoints := w.startServers(4, ownCells)
	listen := r.freeAddr()
	r.write("clusters/rooms.toml", clusterFile("rooms", endpoints...))
	r.write("tenants.toml", tenantsFile("akagera-camps", one, other))
	path := r.write("yokestall.toml", strings.ReplaceAll(keyedProgram, "LISTEN", listen))
	r.start("serve", nil, "yokestall", "serve", "-c", path)
	c := r.newClient("c", listen)
	r.await("the program", 10*time.Second, c.ready)
	var pushes []request // of both tenants, each with a key of its own
	var numbered []request
	for i := range 20 {
		tenant := []string{one, other}[i%2]
		pushes = append(pushes, request{
			method: "POST", path: "/booking", tenant: tenant,
			key: fmt.Sprintf("%s-%d", tenant, i), body: fmt.Sprintf("booking %d", i),
		})
	}
	for i := range 5 { // of one tenant; the other numbers its keys likewise
		numbered = append(numbered, request{
			method: "POST", path: "/booking", tenant: one, key: fmt.Sprint(1001 + i), body: "one room",
		})
	}
	for _, q := range slices.Concat(pushes, numbered) {
		if _, a := c.do(q); a.status != 200 {
			r.fatalf("a first push was answered %d", a.status)
		}
	}
	if r.trouble {
		r.write("tenants.toml", tenantsFile(one, other))
		r.logf("the tenants' file is replaced: akagera-camps has left")
	}
	time.Sleep(1500 * time.Millisecond) // longer than the poll, and well inside the window
	for _, q := range slices.Backward(pushes) {
		c.do(q)
	}
	for _, q := range pushes {
		known := q.tenant + "/" + q.key
		if ran := w.ran(known); len(ran) > 1 {
			r.broken("the push %s ran %d times, at %s", known, len(ran), strings.Join(ran, " and "))
		}
	}
	for _, q := range numbered {
		q.tenant = other
		_, a := c.do(q)
		if a.status == 200 && !strings.Contains(a.body, "of tenant "+other+" ") {
			r.broken("the first push %s of %s was answered with %q, and ran %d times",
				q.key, other, a.body, len(w.ran(other+"/"+q.key)))
		}
	}
}
