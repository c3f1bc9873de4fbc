package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// fleet is a small fleet of nodes that agree: voters, each a process of its own.
type fleet struct {
	rig     *rig
	names   []string
	voters  map[string]string // address of a voter by its name
	listens map[string]string // address for clients by the node's name
	paths   map[string]string // path of a node's file by its name
	procs   map[string]*process
	version int
}

// agreedRules are the classes and routes of a fleet: a keyed class whose servers drop repeats by cell, and a safe one.
const agreedRules = `[limits]
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

[[class]]
name = "payment"
effect = "unsafe"
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
name = "payments"
prefix = "/payment"
methods = ["POST"]
class = "payment"
cluster = "rooms"

[[host.route]]
name = "the rest"
prefix = "/"
class = "avail-read"
cluster = "rooms"
`

// agreedProgram is the program's file of a version that a fleet agrees on.
const agreedProgram = `[listen]
address = "127.0.0.1:1"

[files]
clusters = "clusters"

[fleet]
nodes = 3
zone = "kigali-room1"
cold_for = "3s"

` + agreedRules

// newFleet writes the files of the nodes. extra is added to each node's own file; agree and alone are added to [fleet.agree]
// and [fleet.agree.alone].
func (r *rig) newFleet(names []string, extra, alone string) *fleet {
	f := &fleet{
		rig: r, names: names, voters: map[string]string{}, listens: map[string]string{}, paths: map[string]string{},
		procs: map[string]*process{},
	}
	var list []string
	for _, name := range names {
		f.voters[name], f.listens[name] = r.freeAddr(), r.freeAddr()
		list = append(list, fmt.Sprintf("%q", name+"="+f.voters[name]))
	}
	for i, name := range names {
		f.paths[name] = r.write(name+"/node.toml", fmt.Sprintf(`[listen]
address = %q

[files]
clusters = "clusters"
poll = "500ms"

%s
[fleet]
nodes = %d
node = %d
zone = "kigali-room1"
cold_for = "3s"

[fleet.agree]
name = "north"
node = %q
voters = [%s]
listen = %q
folder = "agree"

%s

%s`, f.listens[name], extra, len(names), i, name, strings.Join(list, ", "), f.voters[name], alone, agreedRules))
		r.write(name+"/clusters/.keep", "")
	}
	return f
}

// start initializes and starts all nodes.
func (f *fleet) start() {
	for _, name := range f.names {
		if _, err := f.rig.command("yokestall", "fleet", "init", "-c", f.paths[name]); err != nil {
			f.rig.fatalf("fleet init: %v", err)
		}
		f.startNode(name)
	}
	for _, name := range f.names {
		f.rig.await("node "+name, 20*time.Second, f.rig.newClient(name, f.listens[name]).ready)
	}
}

func (f *fleet) startNode(name string) {
	f.procs[name] = f.rig.start(name, nil, "yokestall", "serve", "-c", f.paths[name])
}

// publish publishes a version of a program's file with its cluster files, by way of a node's file.
func (f *fleet) publish(by, program string, clusters map[string]string, more ...string) {
	f.version++
	folder := fmt.Sprintf("version-%d", f.version)
	for name, text := range clusters {
		f.rig.write(filepath.Join(folder, "clusters", name+".toml"), text)
	}
	path := f.rig.write(filepath.Join(folder, "program.toml"), program)
	args := append([]string{"fleet", "publish", "-c", f.paths[by], "--base", "present", path}, more...)
	out, err := f.rig.command("yokestall", args...)
	if err != nil {
		f.rig.fatalf("publish: %v: %s", err, out)
	}
}

// awaitServing waits until a node serves by the agreed version.
func (f *fleet) awaitServing(name string) {
	c := f.rig.newClient("first-"+name, f.listens[name])
	f.rig.await("the agreed version", 10*time.Second, func() bool {
		_, a := c.do(request{method: "GET", path: "/avail"})
		return a.status == 200
	})
}
