package demo

import (
	"fmt"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/fake/appbox"
)

// drainGrace is the time for which requests may still be sent to an endpoint after the drain notification.
const drainGrace = 500 * time.Millisecond

// recordSend counts an attempt that was sent to a draining endpoint after drainGrace. It uses the time of sending, because
// on a busy machine the endpoint may receive the attempt later.
func (d *demo) recordSend(_ string, endpointKey uint64, at time.Time) {
	for _, b := range d.endpoints {
		e := clusterEndpoint(b)
		if e.Key() != endpointKey {
			continue
		}
		d.mu.Lock()
		if drainedAt, ok := d.drainedAt[b.Name]; ok && at.After(drainedAt.Add(drainGrace)) {
			d.lateSends[b.Name]++
		}
		d.mu.Unlock()
	}
}

// clusterEndpoint returns the load balancer configuration of an endpoint of the demo.
func clusterEndpoint(b *appbox.Server) cluster.Endpoint {
	return cluster.Endpoint{ID: b.Name, Address: b.Addr()}
}

// addViolation adds a violated rule to the result.
func (d *demo) addViolation(format string, args ...any) {
	d.result.Violations = append(d.result.Violations, fmt.Sprintf(format, args...))
}

// checkRules fills the result. It compares the final answers with the requests that the endpoints received.
func (d *demo) checkRules() {
	r, c := &d.result, &d.counters
	r.Requests, r.Late = c.requests.Load(), c.late.Load()
	r.Served, r.Rejected, r.Failed = c.served.Load(), c.rejected.Load(), c.failed.Load()
	if answers := r.Served + r.Rejected + r.Failed; answers != r.Requests {
		d.addViolation("%d requests, %d final answers", r.Requests, answers)
	}
	if r.Late > 0 {
		d.addViolation("%d answers came after the timeout of the client", r.Late)
	}
	deliveries := d.deliveriesByRequest()
	repeatedPayments := 0
	for id, n := range deliveries {
		r.Deliveries += n
		r.Repeats += n - 1
		if n > 1 && isPayment(id) {
			repeatedPayments++
		}
	}
	if repeatedPayments > 0 {
		d.addViolation("%d payments (not idempotent) reached an endpoint more than once", repeatedPayments)
	}
	if int64(len(deliveries)) < r.Served {
		d.addViolation("%d served, but only %d requests reached an endpoint", r.Served, len(deliveries))
	}
}

// deliveriesByRequest returns, by request ID, how often each request reached an endpoint. It adds violations for endpoints
// that discarded records of requests or that were sent requests after drainGrace.
func (d *demo) deliveriesByRequest() map[string]int {
	deliveries := map[string]int{}
	for _, e := range d.endpoints {
		seen, lost := e.Seen()
		if lost > 0 {
			d.addViolation("%s discarded the records of %d requests", e.Name, lost)
		}
		for _, request := range seen {
			deliveries[request.ID]++
		}
		if n := d.lateSends[e.Name]; n > 0 {
			d.addViolation("%s was sent %d requests more than 500 ms after its drain notification", e.Name, n)
		}
	}
	return deliveries
}
