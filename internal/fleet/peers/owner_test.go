package peers

import (
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testkit"
)

// The cold budget is dealt to who has the traffic, all nodes together stay within the whole, and it goes on when its owner dies: by another one, with
// a higher token.
func TestColdBudgetIsDealt(t *testing.T) {
	var counts [5]atomic.Int64
	type part struct {
		node int
		part float64
	}
	parts := make(chan part, 10_000)
	g := newGroupOf(t, 3, 2, func(i int, c *Config) {
		c.Demand = counts[i].Load
		c.Part = func(p float64) { parts <- part{i, p} }
	})
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() { // all requests come to node 4
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				counts[4].Add(1)
			}
		}
	}()
	g.publish("one", 0, bundle("safe")) // nine nodes, five of which are there
	now := map[int]float64{}
	until := func(what string, good func() bool) {
		t.Helper()
		for !good() {
			p := testkit.Wait(t, parts, what)
			now[p.node] = p.part
			sum := 0.0
			for _, part := range now {
				sum += part
			}
			if sum > 9+1e-6 {
				t.Fatalf("%.3f of the whole: %v", sum/9, now)
			}
		}
	}
	until("the busy node to get what the others lend", func() bool { return now[4] > 4 && now[3] < 0.2 })
	token := func() (at int, token uint64) {
		for i := range g.voters {
			if n := g.nodes[i]; n.stop != nil {
				if token, ok := n.node.Owns(ColdWork); ok {
					return i, token
				}
			}
		}
		return -1, 0
	}
	first, before := token()
	if first < 0 {
		t.Fatal("dealt by nobody")
	}
	g.kill(first)
	delete(now, first)
	testkit.Until(t, "another owner", func() bool {
		at, after := token()
		return at >= 0 && at != first && after > before
	})
	until("each part to be an equal one, or more", func() bool { return now[4] < 2 || now[4] > 4 })
	until("the new owner to deal", func() bool { return now[4] > 3 })
}
