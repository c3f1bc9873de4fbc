package app

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/fake/appbox"
	"yokestall/internal/testutil"
	"yokestall/internal/xds"
)

// A thousand changes (200 without YOKESTALL_CHANGES) under steady traffic and through 50
// stream breaks, in both variants: each send is held against what was delivered at its
// time. The control plane takes endpoints away also while the stream is down.
func TestXDSStorm(t *testing.T) {
	changes := 200
	if v := os.Getenv("YOKESTALL_CHANGES"); v != "" {
		fmt.Sscan(v, &changes)
	}
	for _, variant := range bothVariants {
		t.Run(variant, func(t *testing.T) {
			t.Parallel()
			const boxes, grace = 6, 500 * time.Millisecond
			var all []*appbox.Box
			log := &sends{names: map[uint64]string{}}
			for i := range boxes {
				b := testutil.Box(t, fmt.Sprintf("box-%d", i))
				e := at(b)
				e.ID = e.Address
				log.names[e.Key()] = b.Addr()
				all = append(all, b)
			}
			p := startPlane(t)
			set(t, p, map[string]proto.Message{
				"ingress": ingressRoutes(t), "main": mainRoutes(toCluster("/pay/", "rooms", "pay"), toCluster("/", "rooms", "read")), "rooms": edsCluster("rooms"),
			})
			set(t, p, map[string]proto.Message{"rooms": placed("rooms", healthy, all)})
			var inForce spans
			deliveries := 0
			s, _ := follow(t, xdsProgram(t, p.Addr(), variant, ""), Options{Seed: 1, Log: testutil.Quiet, OnSend: log.note}, nil, func(d *xds.Delivery) {
				deliveries++
				if c := d.View.Clusters()["rooms"]; c != nil {
					var ids []string
					for i := range c.Endpoints {
						if c.Endpoints[i].Serves() {
							ids = append(ids, c.Endpoints[i].Address)
						}
					}
					inForce.taken(ids, d.ReceivedAt, d.ReceivedAt)
				}
			})
			s.becomes("/x", 200)
			ctx, stop := context.WithCancel(t.Context())
			var run sync.WaitGroup
			for i := range 6 {
				run.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						s.get([]string{"/x", "/pay/x"}[n%2], fmt.Sprintf("r-%d-%d", i, n))
					}
				})
			}
			rnd := rand.New(rand.NewPCG(1, 2))
			began := time.Now()
			for i := range changes {
				away := int(time.Since(began)/time.Second) % boxes // long enough for a stray to show
				members := append(slices.Clone(all[:away]), all[away+1:]...)
				rnd.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
				x := placed("rooms", healthy, members[:1+rnd.IntN(len(members))])
				if i%3 == 0 { // the same by a word on its health
					x.Endpoints[0].LbEndpoints = append(x.Endpoints[0].LbEndpoints, lbEndpoint(all[away].Addr(), corev3.HealthStatus_DRAINING))
				}
				if i%(changes/50) == 0 {
					p.Break()
				}
				set(t, p, map[string]proto.Message{"rooms": x})
				time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond) // the pace of changes
			}
			stop()
			run.Wait()
			opened, _ := p.Streams()
			if n := log.strays(&inForce, grace); n != 0 || len(log.list) == 0 || opened < 20 {
				t.Errorf("%d of %d sends went astray; %d streams", n, len(log.list), opened)
			}
			t.Logf("%d changes, %d deliveries, %d streams, %d sends", changes, deliveries, opened, len(log.list))
		})
	}
}
