package app

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"yokestall/internal/fake/controlplane"
	"yokestall/internal/files"
	"yokestall/internal/testutil"
	"yokestall/internal/xds"
	"yokestall/internal/xds/ads"
)

// xdsProgram returns a configuration version that follows a control plane at an address. Its routes come from the xDS
// listener "ingress". more is appended to the section [xds] of the program's file.
func xdsProgram(t testing.TB, addr, variant, more string) *files.Configuration {
	text := program[:strings.Index(program, "[[host]]")] +
		fmt.Sprintf("[xds]\nservers = [%q]\nvariant = %q\n", addr, variant) +
		"node_id = \"test\"\nlistener = \"ingress\"\nclass = \"read\"\n" + more
	return newConfiguration(parse(t, text))
}

// bothVariants are the values of the setting variant: the two variants of the xDS protocol.
var bothVariants = []string{"incremental", "state-of-the-world"}

// startControlPlane starts a control plane without resources.
func startControlPlane(t testing.TB) *controlplane.Server {
	p, err := controlplane.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Down)
	return p
}

// setResources sets resources of a control plane by name.
func setResources(t testing.TB, p *controlplane.Server, named map[string]proto.Message) {
	t.Helper()
	if err := p.SetResources(named); err != nil {
		t.Fatal(err)
	}
}

// serveWithControlPlane starts a testApp that follows a control plane, and returns its logs. change may modify the
// configuration of the xDS client. applied is called with each delivery once it has been applied. Both may be nil.
func serveWithControlPlane(
	t testing.TB, first *files.Configuration, o Options, change func(*xds.Config), applied func(*xds.Delivery),
) (*testApp, *testutil.Logs) {
	t.Helper()
	logs := testutil.NewLogs(t)
	if o.Log == nil {
		o.Log = logs.Logger()
	}
	s := serveWith(t, first, o)
	c := XDSConfig(first.Program, "x")
	c.Failover = ads.FailoverOptions{
		InitialBackoff:         5 * time.Millisecond,
		MaxBackoff:             50 * time.Millisecond,
		PreferredProbeInterval: time.Hour,
	}
	if change != nil {
		change(c)
	}
	source := NewSource(s.app, first)
	client := xds.New(*c, o.Log)
	deliver := func(d *xds.Delivery) {
		source.Deliver(d)
		if applied != nil {
			applied(d)
		}
	}
	client.Restore(deliver)
	ctx, stop := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { client.Run(ctx, deliver) })
	s.stopXDS = func() { stop(); run.Wait() }
	t.Cleanup(s.stopXDS)
	return s, logs
}
