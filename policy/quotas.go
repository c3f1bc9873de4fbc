package policy

import (
	"fmt"
	"sync"
	"time"
)

// Quotas: whether a request is within its tenant's quota (a token bucket, as in RFC 2697). Its inputs are the
// quotas in requests per second over all nodes, and the number of nodes. A request beyond its quota is not
// rejected for that: its weight is multiplied by Settings.OverQuotaWeight, so that it waits behind the others
// and is shed first when there is no capacity for all.

// quotaStripes is the number of locks that the buckets of a Quotas share.
const quotaStripes = 64

// Quotas holds a node's part of its tenants' quotas: for each tenant with a limit a token bucket that holds
// one second's requests. One table may serve all Balancers of a node, whose times must then come from one
// clock; it is safe for concurrent use. Its size is fixed by the number of tenants, whatever clients send.
type Quotas struct {
	tenants []Tenant // read only
	nodes   float64
	buckets []bucket                 // by tenant
	locks   [quotaStripes]sync.Mutex // locks[tenant%quotaStripes] guards buckets[tenant]
}

// bucket is the state of a tenant's token bucket; its rate follows from the tenant's quota.
type bucket struct {
	tokens  float64 // requests
	takenAt time.Duration
}

// NewQuotas returns a table for one of a number of nodes, with full buckets. The list is not copied and must
// not change. An impossible quota gives a *SettingError.
func NewQuotas(tenants []Tenant, nodes int) (*Quotas, error) {
	q := &Quotas{tenants: tenants, nodes: float64(nodes), buckets: make([]bucket, len(tenants))}
	for i, t := range tenants {
		if !finiteNonNegative(t.QuotaPerS) {
			return nil, &SettingError{Field: fmt.Sprintf("Tenants[%d].QuotaPerS", i), Value: t.QuotaPerS}
		}
		q.buckets[i].tokens = q.perSecond(i)
	}
	return q, nil
}

// perSecond returns the rate of a tenant's bucket at this node, in requests per second; 0: no limit.
func (q *Quotas) perSecond(tenant int) float64 { return q.tenants[tenant].QuotaPerS / q.nodes }

// take counts a request and reports whether it is within its tenant's quota. A request of no known tenant
// always is.
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
	elapsed := max(0, now-b.takenAt) // another Balancer's event may have been a little later
	b.tokens = min(max(rate, 1), b.tokens+rate*elapsed.Seconds())
	b.takenAt = max(b.takenAt, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Restore copies the buckets of an earlier table of the same node. earlierIndex gives a tenant's index in
// that table; below 0: it has none. Restore must be called before the table is used.
func (q *Quotas) Restore(earlier *Quotas, earlierIndex func(tenant int) int) {
	for i := range q.buckets {
		from := earlierIndex(i)
		if from < 0 || from >= len(earlier.buckets) {
			continue
		}
		lock := &earlier.locks[from%quotaStripes]
		lock.Lock()
		q.buckets[i] = earlier.buckets[from]
		lock.Unlock()
	}
}
