package policy

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// modelBucket is the plain token bucket that a Quotas has to agree with.
type modelBucket struct {
	rate, tokens float64
	at           time.Duration
}

func (m *modelBucket) take(now time.Duration) bool {
	if m.rate == 0 {
		return true
	}
	m.tokens = min(max(m.rate, 1), m.tokens+m.rate*(now-m.at).Seconds())
	m.at = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// A table says what a plain bucket for each tenant says, on drawn histories.
func TestQuotasAgreeWithPlainBuckets(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		nodes := 1 + rng.IntN(40)
		tenants := make([]Tenant, 5)
		model := make([]modelBucket, len(tenants))
		for i := range tenants {
			tenants[i].QuotaPerS = float64(i) * float64(rng.IntN(50))
			rate := tenants[i].QuotaPerS / float64(nodes)
			model[i] = modelBucket{rate: rate, tokens: rate}
		}
		quotas, err := NewQuotas(tenants, nodes)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		for step := range 2000 {
			now += time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond))
			tenant := rng.IntN(len(tenants))
			if got, want := quotas.take(now, tenant), model[tenant].take(now); got != want {
				t.Fatalf("seed %d, step %d, tenant %d of quota %v: within its quota %v, want %v",
					seed, step, tenant, tenants[tenant].QuotaPerS, got, want)
			}
		}
	}
}

// Balancers that share a table share its quotas: guards against a tenant that has its whole quota in each cluster.
func TestBalancersShareQuotas(t *testing.T) {
	const quota, clusters = 10, 5
	quotas, err := NewQuotas([]Tenant{{QuotaPerS: quota}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	var within atomic.Int64
	var run sync.WaitGroup
	for range clusters {
		run.Go(func() {
			for range 3 * quota {
				if quotas.take(time.Hour, 0) {
					within.Add(1)
				}
			}
		})
	}
	run.Wait()
	if n := within.Load(); n != quota {
		t.Errorf("%d requests at one moment are within a quota of %d a second", n, quota)
	}
	set := testSettings()
	set.OverQuotaWeight, set.Quotas = 0.05, quotas
	r := newRig(t, set, 1)
	r.b.Request(time.Hour, Request{ID: 1, TimeRemaining: time.Second})
	if worth := r.b.requests[1].worth; worth != set.Classes[0].PriorityWeight*0.05 {
		t.Errorf("a request beyond a quota that others used up is worth %v", worth)
	}
}

// What is left of a quota goes on with its tenant, and tenants that are new begin full.
func TestQuotasInherit(t *testing.T) {
	now := time.Hour
	before, _ := NewQuotas([]Tenant{{QuotaPerS: 3}, {QuotaPerS: 3}}, 1)
	for range 3 {
		before.take(now, 1)
	}
	after, _ := NewQuotas([]Tenant{{QuotaPerS: 3}, {QuotaPerS: 3}}, 1)
	after.Restore(before, func(tenant int) int { return map[int]int{0: 1, 1: -1}[tenant] })
	if after.take(now, 0) {
		t.Error("a quota that was used up is full again")
	}
	if !after.take(now, 1) {
		t.Error("a new tenant has no quota")
	}
}

// The ring of outcomes grows with use and then says what a ring of full size says.
func TestOutcomesGrowWithUse(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := &server{}
		var model []outcome
		for step := range 400 {
			o := outcome{time.Duration(step), rng.IntN(3) > 0, rng.Float64()}
			s.record(o.at, o.ok, o.latency)
			if model = append(model, o); len(model) > outcomesKept {
				model = model[1:]
			}
			for len(model) > 0 && rng.IntN(8) == 0 { // as tally drops what is too old
				s.forget(s.outcome(0))
				model = model[1:]
			}
			good := 0
			for i, want := range model {
				if *s.outcome(i) != want {
					t.Fatalf("seed %d, step %d: outcome %d of %d is %v, want %v", seed, step, i, len(model), *s.outcome(i), want)
				}
				if want.ok {
					good++
				}
			}
			if s.kept != len(model) || s.good != good || len(s.ring) > outcomesKept {
				t.Fatalf("seed %d, step %d: %d kept, %d good in a ring of %d; want %d and %d", seed, step, s.kept, s.good, len(s.ring), len(model), good)
			}
		}
	}
	if s := (&server{}); len(s.ring) != 0 {
		t.Error("a server that was never met has room for outcomes")
	}
}
