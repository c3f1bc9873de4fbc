// Package enginetest runs the engine of a cluster for tests of the packages that send requests to it.
package enginetest

import (
	"context"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// OneEndpoint returns the engine of a cluster with one endpoint at addr, and the pool of connections to the endpoint. The
// cluster has one class, whose requests are idempotent, and the engine may cancel attempts. The engine ends with the test.
func OneEndpoint(
	t testing.TB, addr string, clock engine.Clock, o h1client.Options,
) (*engine.Cluster, *h1client.Pool) {
	t.Helper()
	settings := policy.DefaultSettings()
	settings.Limits.AllowCancel = true
	settings.Classes = []policy.Class{{
		Deadline: time.Hour, LatencyObjective: time.Minute, PriorityWeight: 1, Idempotency: policy.Idempotent,
	}}
	pool := h1client.New(o)
	pool.UpdateEndpoints(true, []h1client.Endpoint{{ID: 1, Address: addr}})
	ctx, stop := context.WithCancel(context.Background())
	cluster, err := engine.New(ctx, settings, pool, engine.Options{Seed: 1, Clock: clock})
	if err != nil {
		stop()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		<-cluster.Ended()
		pool.UpdateEndpoints(true, nil)
	})
	cluster.UpdateEndpoints(policy.FullUpdate, []policy.Endpoint{{ID: 1, State: policy.Ready, Weight: 1}})
	return cluster, pool
}
