package idempotency

import (
	"container/heap"
	"time"
)

// expiryQueue is a min-heap of completed entries, ordered by the end of their windows.
type expiryQueue []*Entry

var _ heap.Interface = (*expiryQueue)(nil)

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].expiresAt < q[j].expiresAt }
func (q expiryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(*Entry)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}

// expire removes the completed entries whose windows have ended.
func (s *Store) expire(now time.Duration) {
	for len(s.expiry) > 0 && s.expiry[0].expiresAt <= now {
		s.remove(heap.Pop(&s.expiry).(*Entry))
	}
}

// nextExpiry returns the time until the next window of a completed entry ends, or 0 if no entry is completed.
func (s *Store) nextExpiry(now time.Duration) time.Duration {
	if len(s.expiry) == 0 {
		return 0
	}
	return s.expiry[0].expiresAt - now
}
