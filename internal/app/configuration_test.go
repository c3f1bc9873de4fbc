package app

import (
	"testing"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/files"
)

// program is a program's file with three routes. The cluster of the route /lost/ is not defined.
const program = `[listen]
address = "127.0.0.1:0"
[files]
clusters = "clusters"
poll = "20ms"
max_removed_share = 1
[limits]
attempts = 3
max_retry_after = "600ms"
[[class]]
name = "read"
effect = "safe"
deadline = "5s"
[[class]]
name = "pay"
effect = "unsafe"
deadline = "5s"
[[host]]
[[host.route]]
prefix = "/lost/"
class = "read"
cluster = "undefined"
[[host.route]]
prefix = "/pay/"
class = "pay"
cluster = "rooms"
[[host.route]]
prefix = "/"
class = "read"
cluster = "rooms"
`

// parse parses a program's file.
func parse(t testing.TB, text string) *config.Program {
	t.Helper()
	p, err := config.ParseProgram("yokestall.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// roomsCluster returns the cluster rooms with these endpoints.
func roomsCluster(list ...cluster.Endpoint) *cluster.Config {
	c := &cluster.Config{Name: "rooms", Endpoints: list, ShrinkTo: -1, AllowEmpty: len(list) == 0}
	if err := c.Check(nil); err != nil {
		panic(err)
	}
	return c
}

// endpointOf returns the endpoint of a box.
func endpointOf(b *appbox.Server) cluster.Endpoint {
	return cluster.Endpoint{ID: b.Name, Address: b.Addr(), Weight: 1}
}

// newConfiguration returns a configuration version with a program's file and clusters.
func newConfiguration(p *config.Program, list ...*cluster.Config) *files.Configuration {
	v := &cluster.Version{Clusters: map[string]*cluster.Config{}}
	for _, c := range list {
		v.Clusters[c.Name] = c
	}
	return &files.Configuration{Program: p, Version: v}
}
