package policy

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// modelBucket is a simple token bucket that serves as a model of one tenant's quota in Quotas.
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

// Checks Quotas against a model bucket for each tenant, with random requests.
func TestQuotasAgreeWithPlainBuckets(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		nodes := 1 + rng.IntN(40)
		tenants := make([]Tenant, 5)
		model := make([]modelBucket, len(tenants))
		for i := range tenants {
			tenants[i].QuotaPerSecond = float64(i) * float64(rng.IntN(50))
			rate := tenants[i].QuotaPerSecond / float64(nodes)
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
				t.Fatalf("seed %d, step %d, tenant %d with quota %v: within its quota %v, want %v",
					seed, step, tenant, tenants[tenant].QuotaPerSecond, got, want)
			}
		}
	}
}

// Guards against a tenant that gets its full quota in each cluster: Balancers that share a Quotas share
// each tenant's quota.
func TestBalancersShareQuotas(t *testing.T) {
	const quota, clusters = 10, 5
	quotas, err := NewQuotas([]Tenant{{QuotaPerSecond: quota}}, 1)
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
		t.Errorf("%d simultaneous requests are within a quota of %d per second, want as many as the quota", n, quota)
	}
	set := testSettings()
	set.OverQuotaWeight, set.Quotas = 0.05, quotas
	r := newRig(t, set, 1)
	r.b.Request(time.Hour, Request{ID: 1, TimeRemaining: time.Second})
	if weight := r.b.requests[1].weight; weight != set.Classes[0].PriorityWeight*0.05 {
		t.Errorf("a request beyond a quota that is used up has weight %v, want the priority weight times 0.05", weight)
	}
}

// Checks that Restore keeps the rest of each tenant's quota, and that new tenants begin with the tokens of
// one second.
func TestQuotasRestore(t *testing.T) {
	now := time.Hour
	before, _ := NewQuotas([]Tenant{{QuotaPerSecond: 3}, {QuotaPerSecond: 3}}, 1)
	for range 3 {
		before.take(now, 1)
	}
	after, _ := NewQuotas([]Tenant{{QuotaPerSecond: 3}, {QuotaPerSecond: 3}}, 1)
	after.Restore(before, func(tenant int) int { return map[int]int{0: 1, 1: -1}[tenant] })
	if after.take(now, 0) {
		t.Error("a quota that was used up has tokens after Restore")
	}
	if !after.take(now, 1) {
		t.Error("the bucket of a new tenant is empty after Restore")
	}
}
