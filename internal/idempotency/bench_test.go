package idempotency

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"
)

// BenchmarkEntry compares the heap memory of entries with the size that the store counts for them.
func BenchmarkEntry(b *testing.B) {
	const n, payload = 100_000, 512
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := New(Limits{Entries: n, Bytes: 1 << 40, Tenants: 1})
		for i := range n {
			_, e, _ := s.Begin(0, Key{Name: fmt.Sprintf("%032d", i)}, Fingerprint{}, time.Hour, false)
			s.Complete(0, e, Answered, make([]byte, payload), payload)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "heap-B/entry")
		b.ReportMetric(float64(s.Bytes())/n, "counted-B/entry")
		runtime.KeepAlive(s)
	}
}

// BenchmarkBegin measures Begin for known keys under a mutex, as users of the store call it. The flag -cpu sets the number
// of cores that compete for the mutex.
func BenchmarkBegin(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New(Limits{Entries: n + 1, Bytes: 1 << 40, Tenants: 1})
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint(i)
				_, e, _ := s.Begin(0, Key{Name: names[i]}, Fingerprint{}, time.Hour, false)
				s.Complete(0, e, Answered, nil, 0)
			}
			var mu sync.Mutex
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					mu.Lock()
					s.Begin(0, Key{Name: names[i*7919%n]}, Fingerprint{}, time.Hour, false)
					mu.Unlock()
				}
			})
		})
	}
}
