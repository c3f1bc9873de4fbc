package policy

import (
	"fmt"
	"sync"
	"time"
)

// Quotas determine whether a request is within its tenant's quota, by a token bucket as in RFC 2697. The
// inputs are the quotas in requests per second over all nodes, and the number of nodes. A request beyond
// its quota is not rejected for that reason. Instead its weight is multiplied by Settings.OverQuotaWeight,
// so that it waits behind the other requests and is shed first when there is not enough capacity.

// quotaStripes is the number of locks that the buckets of a Quotas share.
const quotaStripes = 64

// Quotas holds a node's part of its tenants' quotas. Each tenant with a limit has a token bucket that
// holds the tokens of one second, but at least 1. The Balancers of a node may share one Quotas if their
// times come from the same clock. A Quotas is safe for concurrent use. Its size depends only on the number
// of tenants, not on what clients send.
type Quotas struct {
	tenants []Tenant // not modified
	nodes   float64
	buckets []bucket                 // indexed by tenant
	locks   [quotaStripes]sync.Mutex // locks[tenant%quotaStripes] guards buckets[tenant]
}

// bucket is the state of a tenant's token bucket. Its rate is Quotas.perSecond.
type bucket struct {
	tokens    float64 // requests
	updatedAt time.Duration
}

// NewQuotas returns the Quotas of one node. nodes is the number of nodes that share the quotas. Each bucket
// begins with the tokens of one second, which may be less than 1. The slice of tenants is not copied
// and must not change. An invalid quota results in a *SettingError.
func NewQuotas(tenants []Tenant, nodes int) (*Quotas, error) {
	q := &Quotas{tenants: tenants, nodes: float64(nodes), buckets: make([]bucket, len(tenants))}
	for i, t := range tenants {
		if !finiteNonNegative(t.QuotaPerSecond) {
			return nil, &SettingError{Field: fmt.Sprintf("Tenants[%d].QuotaPerS", i), Value: t.QuotaPerSecond}
		}
		q.buckets[i].tokens = q.perSecond(i)
	}
	return q, nil
}

// perSecond returns the rate of a tenant's bucket at this node, in requests per second; 0 means no limit.
func (q *Quotas) perSecond(tenant int) float64 { return q.tenants[tenant].QuotaPerSecond / q.nodes }

// take takes a token for a request and reports whether the request is within its tenant's quota. A request
// of an unknown tenant is always within its quota.
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
	elapsed := max(0, now-b.updatedAt) // an event of another Balancer may have had a later time
	b.tokens = min(max(rate, 1), b.tokens+rate*elapsed.Seconds())
	b.updatedAt = max(b.updatedAt, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Restore copies the buckets of an earlier Quotas of the same node. earlierIndex returns a tenant's index
// in the earlier Quotas, or a negative number if the tenant is new. Restore must be called before q is
// used.
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
