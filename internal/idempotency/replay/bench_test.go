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

// instantCluster is a cluster that answers at once, so that only the deduplicator is measured.
type instantCluster struct{}

func (instantCluster) Do(context.Context, *engine.Request) (engine.Answer, error) {
	answer := &h1client.Answer{Status: http.StatusOK, Body: []byte("done"), Length: -1}
	return engine.Answer{Verdict: engine.Served, Value: answer}, nil
}

// BenchmarkFirst measures the time that the deduplicator adds to a request under a new key: without the deduplicator, with
// it, and with a log in addition. -cpu 1,8 compares one core with several. With the log, the time is that of the disk's
// fsync, which all concurrent requests share.
func BenchmarkFirst(b *testing.B) {
	for _, mode := range []string{"off", "on", "log"} {
		b.Run(mode, func(b *testing.B) {
			clock := engine.NewClock()
			var cluster ingress.Handler = instantCluster{}
			if mode != "off" {
				d := New(idempotency.Limits{Entries: 1 << 22, Bytes: 1 << 32, Joiners: 64, Tenants: 1}, clock)
				if mode == "log" {
					l, known, err := keystore.Open(filepath.Join(b.TempDir(), "keys"), time.Now(), nil)
					if err != nil {
						b.Fatal(err)
					}
					defer l.Close()
					if err := d.AttachLog(l, known); err != nil {
						b.Fatal(err)
					}
				}
				cluster = d.WrapCluster(cluster, 50*time.Millisecond, time.Second)
			}
			var last atomic.Int64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					key := strconv.FormatInt(last.Add(1), 10)
					payload := &h1client.Request{
						Method: http.MethodPost, Target: "/push", Body: []byte("x"),
						Header: http.Header{"Idempotency-Key": {key}},
					}
					r := &engine.Request{Deadline: clock.Now() + time.Second, Payload: payload}
					if a, err := cluster.Do(context.Background(), r); err != nil || a.Verdict != engine.Served {
						b.Error(a.Verdict, err)
						return
					}
				}
			})
		})
	}
}
