package connlimit

import (
	"testing"
	"time"
)

// BenchmarkCrowd measures the table's work for a client that connects, sends one request and stays connected.
func BenchmarkCrowd(b *testing.B) {
	t := New(Limits{Active: 341, Reserve: 21, New: 159, Overflow: 50})
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += ms
		c, victim, _ := t.Admit(now, nil)
		if victim != nil {
			t.Remove(victim)
			continue
		}
		t.BytesReceived(now, c)
		for v := t.NextToClose(now); v != nil; v = t.NextToClose(now) {
			t.Remove(v)
		}
		t.RequestComplete(now, c)
		t.ResponseSent(now, c)
	}
}
