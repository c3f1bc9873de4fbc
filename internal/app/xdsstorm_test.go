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
	xdsChangePause    = 40 * time.Millisecond // maximum random pause after a change, in steps of 1 ms
)

// A control plane changes an assignment many times under steady traffic, and breaks the xDS stream about 50 times, in both
// variants of the protocol. Endpoints are also removed while the stream is down. Each attempt must be sent to an endpoint
// of the delivery in force at the send or at most removalGrace earlier. The environment variable YOKESTALL_CHANGES sets
// the number of changes, which must be at least 50; the default is 200.
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
				clients.Go(func() { s.sendRequests(ctx, i) })
			}
			s.change(changes)
			stop()
			clients.Wait()
			s.check(changes)
		})
	}
}

// xdsStorm is a testApp that follows a control plane, with the servers and the results of TestXDSStorm.
type xdsStorm struct {
	*testApp
	t            *testing.T
	controlPlane *controlplane.Server
	boxes        []*appbox.Server
	sends        *sendLog
	inForce      memberships
	deliveries   int
}

// newXDSStorm starts an xdsStorm with a first version that contains all boxes.
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
	setResources(t, s.controlPlane, map[string]proto.Message{
		"ingress": ingressRoutes(t),
		"main":    mainRoutes(routeToCluster("/pay/", "rooms", "pay"), routeToCluster("/", "rooms", "read")),
		"rooms":   edsCluster("rooms"),
	})
	setResources(t, s.controlPlane, map[string]proto.Message{"rooms": loadAssignment("rooms", healthy, s.boxes)})
	o := Options{Seed: 1, Log: testutil.DiscardLogger, OnSend: s.sends.record}
	s.testApp, _ = serveWithControlPlane(t, xdsProgram(t, s.controlPlane.Addr(), variant, ""), o, nil, s.applied)
	s.waitForStatus("/x", 200)
	return s
}

// applied records a delivery that has been applied.
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
	s.inForce.update(ids, d.ReceivedAt, d.ReceivedAt)
}

// sendRequests sends the requests of one client until ctx ends.
func (s *xdsStorm) sendRequests(ctx context.Context, client int) {
	for n := 0; ctx.Err() == nil; n++ {
		s.get([]string{"/x", "/pay/x"}[n%2], fmt.Sprintf("r-%d-%d", client, n))
	}
}

// change changes the assignment count times and breaks the xDS stream now and then. Each assignment lacks one box or marks
// it as draining.
func (s *xdsStorm) change(count int) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	for i := range count {
		away := int(time.Since(start)/stormAwayTime) % stormBoxes
		members := append(slices.Clone(s.boxes[:away]), s.boxes[away+1:]...)
		random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		assignment := loadAssignment("rooms", healthy, members[:1+random.IntN(len(members))])
		if i%3 == 0 { // the box is marked as draining instead of left out
			first := assignment.Endpoints[0]
			first.LbEndpoints = append(first.LbEndpoints, lbEndpoint(s.boxes[away].Addr(), corev3.HealthStatus_DRAINING))
		}
		if i%(count/xdsStreamBreaks) == 0 {
			s.controlPlane.BreakStreams()
		}
		setResources(s.t, s.controlPlane, map[string]proto.Message{"rooms": assignment})
		time.Sleep(time.Duration(random.IntN(int(xdsChangePause/time.Millisecond))) * time.Millisecond)
	}
}

// check checks the endpoints to which attempts were sent.
func (s *xdsStorm) check(changes int) {
	s.t.Helper()
	opened, _ := s.controlPlane.Streams()
	sent := len(s.sends.list)
	if n := s.sends.countMisrouted(&s.inForce, removalGrace); n != 0 || sent == 0 || opened < 20 {
		s.t.Errorf("%d of %d attempts were sent to an endpoint outside the deliveries in force, over %d xDS streams; "+
			"want none, some attempts and at least 20 streams", n, sent, opened)
	}
	s.t.Logf("%d changes, %d deliveries, %d xDS streams, %d attempts sent", changes, s.deliveries, opened, sent)
}
