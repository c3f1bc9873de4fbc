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

// Exchangers, endpoint updates and clients act concurrently and at random. Each request must get exactly one answer or end
// with its client, nothing may be sent after that, or to an endpoint after its drain grace, and no request and no timer
// of a request may remain in the cluster.
func TestStorm(t *testing.T) {
	const clients, requests = 24, 60
	s := &stressTest{clock: NewClock()}
	c, err := New(context.Background(), settings(), exchangerFunc(s.exchange), Options{Seed: 7, Clock: s.clock})
	if err != nil {
		t.Fatal(err)
	}
	s.cluster = c
	defer func() { c.cancel(); <-c.Ended() }()
	c.UpdateEndpoints(policy.FullUpdate, readyEndpoints(endpointIDs(stressEndpoints)...))
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
	if total != clients*requests || s.forbiddenSends.Load() != 0 {
		t.Errorf("%d requests ended, want %d; %d forbidden sends, want 0", total, clients*requests, s.forbiddenSends.Load())
	}
	t.Logf("%d sends; served %d, rejected %d, failed %d, disconnected %d", s.sends.Load(), s.verdicts[Served].Load(),
		s.verdicts[Rejected].Load(), s.verdicts[Failed].Load(), s.disconnected.Load())
	testutil.Until(t, "the loop to remove all requests and their timers", func() bool {
		sizes := make(chan [2]int, 1)
		c.runOnLoop(func() { sizes <- [2]int{len(c.requests), len(c.timers.timers)} })
		size := <-sizes
		return size[0] == 0 && size[1] <= 2
	})
}

const stressEndpoints = 6

// stressTest checks each send against the earlier endpoint updates and final answers.
type stressTest struct {
	cluster        *Cluster
	clock          Clock
	removedSince   [stressEndpoints + 1]atomic.Int64 // time on the clock, by endpoint id; 0 while ready
	sends          atomic.Int64
	forbiddenSends atomic.Int64 // sends after the request's end, or to an endpoint after its drain grace
	verdicts       [3]atomic.Int64
	disconnected   atomic.Int64 // requests that ended because the client disconnected
}

// stressPayload is the payload of one request.
type stressPayload struct{ answered atomic.Bool }

func (s *stressTest) exchange(call *Call, to policy.EndpointID, payload any, _ time.Duration) Result {
	rnd := rand.New(rand.NewPCG(uint64(to), uint64(s.clock.Now())))
	if rnd.IntN(4) == 0 {
		time.Sleep(time.Duration(rnd.IntN(30)) * time.Millisecond) // the time to connect
	}
	since, before := s.removedSince[to].Load(), s.clock.Now()
	answered := payload.(*stressPayload).answered.Load()
	if !call.BeginSend() {
		return Result{Status: policy.NeverSent}
	}
	s.sends.Add(1)
	// before was read before BeginSend, so that a delay of this goroutine does not count as a late send.
	if answered || since != 0 && before-time.Duration(since) > DefaultDrainSendGrace {
		s.forbiddenSends.Add(1)
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
func (s *stressTest) updateEndpoints(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(3, 4))
	all := endpointIDs(stressEndpoints)
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
func (s *stressTest) request(t *testing.T, rnd *rand.Rand) {
	payload := &stressPayload{}
	r := s.cluster.request(rnd.IntN(3), time.Duration(20+rnd.IntN(80))*time.Millisecond)
	r.Payload = payload
	ctx, cancel := context.WithCancel(t.Context())
	if rnd.IntN(8) == 0 {
		time.AfterFunc(time.Duration(rnd.IntN(40))*time.Millisecond, cancel)
	}
	a, err := s.cluster.Do(ctx, r)
	cancel()
	if err != nil { // after a disconnection, sends are forbidden only once the loop has handled it
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
		t.Errorf("the request got a second answer: %+v", second)
	default:
	}
}
