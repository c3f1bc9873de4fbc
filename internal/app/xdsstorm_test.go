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
	"yokestall/internal/fake/controlplane"
	"yokestall/internal/testutil"
	"yokestall/internal/xds"
)

// Load of TestXDSStorm.
const (
	defaultXDSChanges = 200
	xdsStreamBreaks   = 50
	xdsStormClients   = 6
	xdsChangePause    = 40 * time.Millisecond // at most, after a change, in steps of a millisecond
)

// A thousand changes (200 without YOKESTALL_CHANGES) under steady traffic and through 50
// stream breaks, in both variants: each send is compared with what was delivered at its
// time. The control plane takes endpoints away also while the stream is down.
func TestXDSStorm(t *testing.T) {
	changes := defaultXDSChanges
	if v := os.Getenv("YOKESTALL_CHANGES"); v != "" {
		fmt.Sscan(v, &changes)
	}
	for _, variant := range bothVariants {
		t.Run(variant, func(t *testing.T) {
			t.Parallel()
			s := newXDSStorm(t, variant)
			ctx, stop := context.WithCancel(t.Context())
			var clients sync.WaitGroup
			for i := range xdsStormClients {
				clients.Go(func() { s.load(ctx, i) })
			}
			s.change(changes)
			stop()
			clients.Wait()
			s.check(changes)
		})
	}
}

// xdsStorm is an app that follows a control plane.
type xdsStorm struct {
	*serving
	t            *testing.T
	controlPlane *controlplane.Server
	boxes        []*appbox.Server
	sends        *sendLog
	inForce      memberships
	deliveries   int
}

// newXDSStorm serves by a first version with all boxes.
func newXDSStorm(t *testing.T, variant string) *xdsStorm {
	t.Helper()
	s := &xdsStorm{t: t, sends: &sendLog{names: map[uint64]string{}}}
	for i := range stormBoxes {
		b := testutil.StartAppServer(t, fmt.Sprintf("box-%d", i))
		e := endpointOf(b)
		e.ID = e.Address
		s.sends.names[e.Key()] = b.Addr()
		s.boxes = append(s.boxes, b)
	}
	s.controlPlane = startControlPlane(t)
	set(t, s.controlPlane, map[string]proto.Message{
		"ingress": ingressRoutes(t),
		"main":    mainRoutes(toCluster("/pay/", "rooms", "pay"), toCluster("/", "rooms", "read")),
		"rooms":   edsCluster("rooms"),
	})
	set(t, s.controlPlane, map[string]proto.Message{"rooms": loadAssignment("rooms", healthy, s.boxes)})
	o := Options{Seed: 1, Log: testutil.DiscardLogger, OnSend: s.sends.note}
	s.serving, _ = follow(t, xdsProgram(t, s.controlPlane.Addr(), variant, ""), o, nil, s.applied)
	s.becomes("/x", 200)
	return s
}

// applied notes a delivery that the app has applied.
func (s *xdsStorm) applied(d *xds.Delivery) {
	s.deliveries++
	c := d.View.Clusters()["rooms"]
	if c == nil {
		return
	}
	var ids []string
	for i := range c.Endpoints {
		if c.Endpoints[i].Serves() {
			ids = append(ids, c.Endpoints[i].Address)
		}
	}
	s.inForce.apply(ids, d.ReceivedAt, d.ReceivedAt)
}

// load sends requests until ctx ends.
func (s *xdsStorm) load(ctx context.Context, client int) {
	for n := 0; ctx.Err() == nil; n++ {
		s.get([]string{"/x", "/pay/x"}[n%2], fmt.Sprintf("r-%d-%d", client, n))
	}
}

// change changes the assignment, each time without one box, and breaks the stream now and then.
func (s *xdsStorm) change(count int) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	for i := range count {
		away := int(time.Since(start)/stormAwayTime) % stormBoxes
		members := append(slices.Clone(s.boxes[:away]), s.boxes[away+1:]...)
		random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		assignment := loadAssignment("rooms", healthy, members[:1+random.IntN(len(members))])
		if i%3 == 0 { // the box is not left out but draining
			first := assignment.Endpoints[0]
			first.LbEndpoints = append(first.LbEndpoints, lbEndpoint(s.boxes[away].Addr(), corev3.HealthStatus_DRAINING))
		}
		if i%(count/xdsStreamBreaks) == 0 {
			s.controlPlane.BreakStreams()
		}
		set(s.t, s.controlPlane, map[string]proto.Message{"rooms": assignment})
		time.Sleep(time.Duration(random.IntN(int(xdsChangePause/time.Millisecond))) * time.Millisecond)
	}
}

// check checks where the requests went.
func (s *xdsStorm) check(changes int) {
	s.t.Helper()
	opened, _ := s.controlPlane.Streams()
	sent := len(s.sends.list)
	if n := s.sends.astray(&s.inForce, removalGrace); n != 0 || sent == 0 || opened < 20 {
		s.t.Errorf("%d of %d sends went astray; %d streams", n, sent, opened)
	}
	s.t.Logf("%d changes, %d deliveries, %d streams, %d sends", changes, s.deliveries, opened, sent)
}
