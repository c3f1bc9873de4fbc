package policy

import (
	"testing"
	"time"
)

func TestPollsAgainAfterFailures(t *testing.T) {
	set := testSettings()
	set.PollEndpoints = true
	r := newRig(t, set, 3)
	r.advance(firstPollSpread)
	if r.h.polls != 1 {
		t.Fatalf("%d polls within the spread of the first poll, want 1", r.h.polls)
	}
	r.update(UpdateFailed)
	r.advance(2 * minPollBackoff)
	r.update(UpdateFailed)
	r.advance(set.Rules.MaxPollInterval / 2)
	if r.h.polls != 3 {
		t.Fatal("the number of polls is not 3: the first one, and one after each of the two failed polls")
	}
	if len(r.b.ready) != 3 {
		t.Fatal("a failed poll changed the endpoint list")
	}
}

// Guards against all nodes polling discovery at the same time, when they start together and again after
// each failed poll. In this test discovery needs a few seconds to answer one poll from every node, and a
// poll that would wait for more than 2 s fails. Meanwhile each node serves requests with its cached list.
func TestPollsOfManyNodesAreSpread(t *testing.T) {
	const nodes, perSecond = 80, 25 // number of nodes, and polls per second that discovery can answer
	var polls []time.Duration
	var rigs []*rig
	for node := range nodes {
		set := testSettings()
		set.PollEndpoints, set.NodeCount, set.NodeIndex = true, nodes, node
		h := newFakeHost()
		b, err := New(set, uint64(node), h)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(time.Hour, CachedUpdate, ready(1, 60))
		r := &rig{t: t, b: b, h: h, now: time.Hour, delivered: map[RequestID]int{}}
		if r.request(0); len(h.sends) != 1 || h.polls != 0 {
			t.Fatalf("%d sends and %d polls at the start, want 1 send with the cached list and no poll", len(h.sends), h.polls)
		}
		rigs = append(rigs, r)
	}
	busy, failed, most := 0.0, 0, 0.0
	for at := time.Hour; at < time.Hour+20*time.Second; at += 10 * ms {
		busy = max(0, busy-perSecond*0.01)
		for _, r := range rigs {
			before := r.h.polls
			if r.advance(10 * ms); r.h.polls == before {
				continue
			}
			if polls = append(polls, at); busy > 2*perSecond { // the poll would wait for more than 2 s
				failed++
				r.update(UpdateFailed)
				continue
			}
			busy++
			most = max(most, busy)
			r.update(DeltaUpdate)
		}
	}
	if failed > 0 || len(polls) != nodes {
		t.Errorf("%d of %d polls failed, up to %.0f waited at once; want one poll for each node and no failure",
			failed, len(polls), most)
	}
}
