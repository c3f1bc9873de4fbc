package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fleet/consensus"
	"yokestall/internal/testutil"
)

// Guards against a call that writes to the store after it was closed, because Serve returned while the call was at work.
func TestServeWaitsForItsCalls(t *testing.T) {
	const callTime = 100 * time.Millisecond // that a call goes on after the node was told to stop
	parsing, release := make(chan struct{}), make(chan struct{})
	parsingOnce := sync.OnceFunc(func() { close(parsing) })
	var returned atomic.Bool
	f := newTestFleetWith(t, 1, 0, func(_ int, c *Config) {
		parse := c.Parse
		c.Parse = func(list []config.File) (*consensus.Version, error) {
			parsingOnce()
			<-release
			defer returned.Store(true)
			return parse(list)
		}
	})
	ctx, cancel := context.WithCancel(f.context())
	published := make(chan struct{})
	go func() {
		defer close(published)
		for ctx.Err() == nil { // until the node has elected itself
			f.client.Publish(ctx, "one", 0, versionWithEffect("safe"))
		}
	}()
	testutil.Wait(t, parsing, "the call to parse the version")
	f.nodes[0].stop()
	time.AfterFunc(callTime, func() { close(release) })
	f.nodes[0].running.Wait()
	if !returned.Load() {
		t.Error("Serve returned while a call was at work, which may write to the store")
	}
	cancel()
	testutil.Wait(t, published, "the end of the publish")
}
