// Package badpeers is a rig that puts the program between clients and servers that mean it ill, or
// are many, or large, and counts what came of it: every way in which both sides speak, in one
// process, on loopback. It ends by itself.
//
//	go run ./internal/stress/badpeers/run [-requests N] [-connections N] [-megabytes N] [-resets N]
package badpeers

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"yokestall/internal/app"
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fake/keymaker"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/files"
	"yokestall/internal/tlskeys"
)

// Options are how much of each is wanted; what is 0 is left out.
type Options struct {
	Requests    int   // of all sizes, a tenth of them broken off by servers
	Connections int   // idle ones over HTTP/2
	Megabytes   int64 // through each pair of sides, each way
	Resets      int   // streams that are opened and reset at full speed
	Largest     int   // bytes of the largest body of Requests, 1 or more
	Out         io.Writer
	Log         *slog.Logger
	// Crowd opens the idle connections in another process, which has descriptors of its own, and
	// gives what ends it; nil: this process opens them.
	Crowd func(addr string, n int) (leave func() error, err error)
}

// Finding is one thing that must not be.
type Finding struct{ Scenario, What string }

// rig is a run.
type rig struct {
	Options
	folder    string
	authority *keymaker.Authority
	keys      *tlskeys.Store
	found     []Finding
}

// Run plays the scenarios one after another. The error is of the rig itself.
func Run(ctx context.Context, o Options) ([]Finding, error) {
	folder, err := os.MkdirTemp("", "yokestall-abuse-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	r := &rig{Options: o, folder: folder}
	if r.authority, err = keymaker.New("the rig's authority"); err != nil {
		return nil, err
	}
	for _, name := range []string{frontName, peerName} {
		if err := r.authority.Write(folder, name, name); err != nil {
			return nil, err
		}
	}
	if r.keys, err = tlskeys.Open(folder, frontName, o.Log); err != nil {
		return nil, err
	}
	for _, s := range []struct {
		name string
		want bool
		play func(context.Context) (string, error)
	}{
		{"mixed faults", o.Requests > 0, r.mixed},
		{"bytes through", o.Megabytes > 0, r.through}, // ahead of those who leave memory that is free, but not given back
		{"idle connections", o.Connections > 0, r.idle},
		{"rapid reset", o.Resets > 0, r.resets},
	} {
		if !s.want {
			continue
		}
		began, before := time.Now(), len(r.found)
		text, err := s.play(ctx)
		if err != nil {
			return r.found, fmt.Errorf("%s: %w", s.name, err)
		}
		fmt.Fprintf(o.Out, "%-18s %s (%.1f s)\n", s.name, text, time.Since(began).Seconds())
		for i := before; i < len(r.found); i++ {
			r.found[i].Scenario = s.name
			fmt.Fprintf(o.Out, "%-18s broken: %s\n", "", r.found[i].What)
		}
	}
	return r.found, nil
}

// most is how many findings are told.
const most = 20

func (r *rig) broken(format string, args ...any) {
	if len(r.found) < most {
		r.found = append(r.found, Finding{What: fmt.Sprintf(format, args...)})
	}
}

const (
	frontName = "front.test"
	peerName  = "peer.test"
	// program has a class that may be sent again and one that may not.
	program = `[listen]
address = "127.0.0.1:0"
connections = 20000
silent = 4096
http2_streams = 100
[files]
clusters = "none"
max_removed_share = 1
[keys]
folder = "keys"
[limits]
attempts = 3
[[class]]
name = "read"
effect = "safe"
deadline = "60s"
aim = "400ms"
[[class]]
name = "pay"
effect = "unsafe"
deadline = "60s"
aim = "400ms"
[[host]]
[[host.route]]
prefix = "/pay/"
class = "pay"
cluster = "peers"
[[host.route]]
prefix = "/"
class = "read"
cluster = "peers"
`
)

// between is the program between clients and a server that speak in their ways.
type between struct {
	front     webpeer.Protocol
	program   *config.Program
	app       *app.App
	listeners *app.Listeners
	peer      *webpeer.Peer
	cluster   cluster.Config
	addr      string
	transport *http.Transport
}

// between starts the program with its server; end ends both.
func (r *rig) between(front, back webpeer.Protocol) (b *between, err error) {
	b = &between{front: front}
	if b.peer, err = webpeer.Start(back, r.keys.ServerConfig(tlskeys.ClientAuth{}, back.ALPN()), 2); err != nil {
		return nil, err
	}
	if b.program, err = config.ParseProgram("abuse.toml", []byte(program)); err != nil {
		return nil, err
	}
	b.cluster = cluster.Config{
		Name: "peers", ShrinkTo: cluster.ShrinkUnspecified, Transport: cluster.Transport{HTTP2: back.HTTP2},
	}
	if back.TLS {
		b.cluster.Transport.TLS = &cluster.TLS{ServerName: peerName, Roots: "ca"}
	}
	if b.app, err = app.New(b.version(-1), app.Options{Seed: 1, Log: r.Log, Keys: r.keys}); err != nil {
		return nil, err
	}
	set := b.program.Listener
	set.TLS = front.TLS
	b.listeners = b.app.NewListeners()
	if err := b.listeners.Apply([]config.Listener{set}); err != nil {
		return nil, err
	}
	b.addr = b.listeners.Addr("").String()
	b.transport = &http.Transport{
		Protocols: front.HTTPProtocols(), MaxIdleConnsPerHost: 64, DisableCompression: true,
		TLSClientConfig: &tls.Config{RootCAs: r.authority.Pool(), ServerName: frontName},
	}
	return b, nil
}

// version has one of the server's places drain; -1: none.
func (b *between) version(draining int) *files.Snapshot {
	c := b.cluster
	c.Endpoints = nil
	for i, addr := range b.peer.Addrs {
		e := cluster.Endpoint{ID: fmt.Sprint(i), Address: addr, Weight: 1}
		if i == draining {
			e.Health = cluster.Draining
		}
		c.Endpoints = append(c.Endpoints, e)
	}
	return &files.Snapshot{Program: b.program, Version: &cluster.Version{Clusters: map[string]*cluster.Config{c.Name: &c}}}
}

func (b *between) end() {
	b.transport.CloseIdleConnections()
	b.listeners.Close()
	b.app.Close()
	b.peer.Down()
}

// request makes one that has the server do something.
func (b *between) request(ctx context.Context, path, do string, body io.Reader) *http.Request {
	scheme := "http"
	if b.front.TLS {
		scheme = "https"
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+b.addr+path, body)
	if err != nil {
		panic(err) // of a constant
	}
	q.Header.Set("X-Do", do)
	return q
}

// descriptors tells how many this process has open.
func descriptors() int {
	list, _ := filepath.Glob("/proc/self/fd/*")
	return len(list)
}

func kinds(w webpeer.Protocol, v webpeer.Protocol) string {
	return strings.Join([]string{w.String(), v.String()}, " to ")
}
