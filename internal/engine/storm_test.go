package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// Whatever exchangers, endpoint updates and clients do at the same time: one answer a request, nothing sent after it,
// nothing to an endpoint that was removed, and no request or timer left over.
func TestStorm(t *testing.T) {
	const clients, requests = 24, 60
	s := &storm{clock: NewClock()}
	c, err := New(context.Background(), settings(), exchange(s.exchange), Options{Seed: 7, Clock: s.clock})
	if err != nil {
		t.Fatal(err)
	}
	s.cluster = c
	defer func() { c.cancel(); <-c.Ended() }()
	c.UpdateEndpoints(policy.FullUpdate, ready(endpointIDs(stormEndpoints)...))
	ctx, stop := context.WithCancel(t.Context())
	var updates, work sync.WaitGroup
	updates.Go(func() { s.updateEndpoints(ctx) })
	for i := range clients {
		work.Go(func() {
			rnd := rand.New(rand.NewPCG(5, uint64(i)))
			for range requests {
				s.request(t, rnd)
			}
		})
	}
	work.Wait()
	stop()
	updates.Wait()
	total := s.disconnected.Load()
	for i := range s.verdicts {
		total += s.verdicts[i].Load()
	}
	if total != clients*requests || s.strays.Load() != 0 {
		t.Errorf("%d ends for %d requests, %d stray sends", total, clients*requests, s.strays.Load())
	}
	t.Logf("%d sends; served %d, rejected %d, failed %d, disconnected %d", s.sends.Load(), s.verdicts[Served].Load(),
		s.verdicts[Rejected].Load(), s.verdicts[Failed].Load(), s.disconnected.Load())
	testutil.Until(t, "the loop to forget all requests and timers", func() bool {
		sizes := make(chan [2]int, 1)
		c.runOnLoop(func() { sizes <- [2]int{len(c.requests), len(c.timers.timers)} })
		size := <-sizes
		return size[0] == 0 && size[1] <= 2
	})
}

const stormEndpoints = 6

// storm checks each send against the endpoint updates and answers so far.
type storm struct {
	cluster      *Cluster
	clock        Clock
	removedSince [stormEndpoints + 1]atomic.Int64 // on the clock, by id; 0: ready
	sends        atomic.Int64
	strays       atomic.Int64 // sends after the answer, or to an endpoint that was removed
	verdicts     [3]atomic.Int64
	disconnected atomic.Int64 // requests that ended with their client
}

// stormPayload is the payload of one request.
type stormPayload struct{ answered atomic.Bool }

func (s *storm) exchange(call *Call, to policy.EndpointID, payload any, _ time.Duration) Result {
	rnd := rand.New(rand.NewPCG(uint64(to), uint64(s.clock.Now())))
	if rnd.IntN(4) == 0 {
		time.Sleep(time.Duration(rnd.IntN(30)) * time.Millisecond) // to connect takes a while
	}
	since, before := s.removedSince[to].Load(), s.clock.Now()
	answered := payload.(*stormPayload).answered.Load()
	if !call.BeginSend() {
		return Result{Status: policy.NeverSent}
	}
	s.sends.Add(1)
	// before was read ahead of BeginSend, so that no delay of this goroutine adds to it.
	if answered || since != 0 && before-time.Duration(since) > DefaultDrainSendGrace {
		s.strays.Add(1)
	}
	switch rnd.IntN(10) {
	case 0:
		return Result{Status: policy.ErrorResponse}
	case 1:
		return Result{Status: policy.ConnectFailed}
	case 2:
		<-call.Context().Done()
		return Result{Status: policy.Reset}
	}
	return Result{Status: policy.OK, Answer: payload}
}

// updateEndpoints changes the state of one endpoint every 2 ms until the context ends.
func (s *storm) updateEndpoints(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(3, 4))
	all := endpointIDs(stormEndpoints)
	for ctx.Err() == nil {
		id := all[rnd.IntN(len(all))]
		state := []policy.EndpointState{policy.Ready, policy.Draining, policy.Removed}[rnd.IntN(3)]
		if state == policy.Ready {
			s.removedSince[id].Store(0)
		}
		s.cluster.UpdateEndpoints(policy.DeltaUpdate, []policy.Endpoint{{ID: id, State: state, Weight: 1}})
		if state != policy.Ready {
			s.removedSince[id].CompareAndSwap(0, int64(s.clock.Now()))
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// request submits one request, whose client may disconnect.
func (s *storm) request(t *testing.T, rnd *rand.Rand) {
	payload := &stormPayload{}
	r := s.cluster.request(rnd.IntN(3), time.Duration(20+rnd.IntN(80))*time.Millisecond)
	r.Payload = payload
	ctx, cancel := context.WithCancel(t.Context())
	if rnd.IntN(8) == 0 {
		time.AfterFunc(time.Duration(rnd.IntN(40))*time.Millisecond, cancel)
	}
	a, err := s.cluster.Do(ctx, r)
	cancel()
	if err != nil { // disconnected: nothing is sent once the loop has handled that
		handled := make(chan struct{})
		s.cluster.runOnLoop(func() { close(handled) })
		<-handled
	}
	payload.answered.Store(true)
	if err != nil {
		s.disconnected.Add(1)
		return
	}
	s.verdicts[a.Verdict].Add(1)
	select {
	case second := <-r.answer:
		t.Errorf("a second answer: %+v", second)
	default:
	}
}
