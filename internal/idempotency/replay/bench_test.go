package replay

import (
	"context"
	"net/http"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/idempotency/keystore"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// instant is a cluster that serves at once: what is measured is the deduplicator.
type instant struct{}

func (instant) Do(context.Context, *engine.Request) (engine.Answer, error) {
	answer := &h1client.Answer{Status: http.StatusOK, Body: []byte("done"), Length: -1}
	return engine.Answer{Verdict: engine.Served, Value: answer}, nil
}

// BenchmarkFirst is what the deduplicator adds to a keyed request that comes for the first time: with the
// store off, on, and on with the log. -cpu 1,8 shows one core and several; the log's is the disk's
// fsync, shared by all that wait together.
func BenchmarkFirst(b *testing.B) {
	for _, how := range []string{"off", "on", "log"} {
		b.Run(how, func(b *testing.B) {
			clock := engine.NewClock()
			var cluster ingress.Handler = instant{}
			if how != "off" {
				g := New(idempotency.Limits{Entries: 1 << 22, Bytes: 1 << 32, Joiners: 64, Tenants: 1}, clock)
				if how == "log" {
					l, known, err := keystore.Open(filepath.Join(b.TempDir(), "keys"), time.Now(), nil)
					if err != nil {
						b.Fatal(err)
					}
					defer l.Close()
					if err := g.AttachLog(l, known); err != nil {
						b.Fatal(err)
					}
				}
				cluster = g.Cluster(cluster, 50*time.Millisecond, time.Second)
			}
			var last atomic.Int64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					key := strconv.FormatInt(last.Add(1), 10)
					o := &h1client.Request{
						Method: http.MethodPost, Target: "/push", Body: []byte("x"),
						Header: http.Header{"Idempotency-Key": {key}},
					}
					r := &engine.Request{Deadline: clock.Now() + time.Second, Payload: o}
					if a, err := cluster.Do(context.Background(), r); err != nil || a.Verdict != engine.Served {
						b.Error(a.Verdict, err)
						return
					}
				}
			})
		})
	}
}
