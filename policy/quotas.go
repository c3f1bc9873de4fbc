package policy

import (
	"fmt"
	"sync"
	"time"
)

// quotaStripes is how many locks the buckets of a Quotas share.
const quotaStripes = 64

// Quotas holds a node's part of its tenants' quotas: a token bucket of one second's worth for each tenant with a
// limit. One table may serve all Balancers of a node, whose times must then come from one clock; it is safe for
// concurrent use. Its size is fixed by the number of tenants, whatever clients send.
type Quotas struct {
	tenants []Tenant
	nodes   float64
	buckets []bucket // by tenant
	locks   [quotaStripes]sync.Mutex
}

// bucket is the state of a tenant's token bucket; its rate follows from the tenant's quota.
type bucket struct {
	tokens float64
	at     time.Duration // of the last take
}

// NewQuotas makes the table for one of a number of nodes; the buckets are full. The list is not copied. The error
// names the first tenant whose quota is impossible.
func NewQuotas(tenants []Tenant, nodes int) (*Quotas, error) {
	q := &Quotas{tenants: tenants, nodes: float64(nodes), buckets: make([]bucket, len(tenants))}
	for i, t := range tenants {
		if !finiteFrom(t.QuotaPerS, 0) {
			return nil, impossible(fmt.Sprintf("Tenants[%d].QuotaPerS", i), t.QuotaPerS)
		}
		q.buckets[i].tokens = q.perSecond(i)
	}
	return q, nil
}

// perSecond is the rate of a tenant's bucket at this node; 0: no limit.
func (q *Quotas) perSecond(tenant int) float64 { return q.tenants[tenant].QuotaPerS / q.nodes }

// take counts a request and tells whether it is within its tenant's quota. Requests of no known tenant always are.
func (q *Quotas) take(now time.Duration, tenant int) bool {
	if tenant < 0 || tenant >= len(q.buckets) {
		return true
	}
	rate := q.perSecond(tenant)
	if rate <= 0 {
		return true
	}
	lock := &q.locks[tenant%quotaStripes]
	lock.Lock()
	defer lock.Unlock()
	b := &q.buckets[tenant]
	elapsed := max(0, now-b.at) // another Balancer's event may have been a little later
	b.tokens = min(max(rate, 1), b.tokens+rate*elapsed.Seconds())
	b.at = max(b.at, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Restore takes over what is left in the buckets of another table of the same node, as far as was gives a tenant's
// place there; below 0: it has none. It is called before the table is used.
func (q *Quotas) Restore(from *Quotas, was func(tenant int) int) {
	for i := range q.buckets {
		before := was(i)
		if before < 0 || before >= len(from.buckets) {
			continue
		}
		lock := &from.locks[before%quotaStripes]
		lock.Lock()
		q.buckets[i] = from.buckets[before]
		lock.Unlock()
	}
}
