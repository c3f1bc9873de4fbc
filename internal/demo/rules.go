package demo

import (
	"fmt"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/fake/appbox"
)

// drainGrace is how long after a drain was notified requests may still be sent to the endpoint.
const drainGrace = 500 * time.Millisecond

// noteSend counts an attempt that was sent to a draining endpoint too late. What counts is when it was sent: on a busy
// machine the endpoint may receive it later.
func (d *demo) noteSend(_ string, endpointKey uint64, at time.Time) {
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

// clusterEndpoint returns an endpoint of the demo as the program has it.
func clusterEndpoint(b *appbox.Server) cluster.Endpoint {
	return cluster.Endpoint{ID: b.Name, Address: b.Addr()}
}

// violation adds a rule that was broken to the result.
func (d *demo) violation(format string, args ...any) {
	d.result.Violations = append(d.result.Violations, fmt.Sprintf(format, args...))
}

// checkRules fills the result: it compares the final answers with what the endpoints saw.
func (d *demo) checkRules() {
	r, c := &d.result, &d.counters
	r.Requests, r.Late = c.requests.Load(), c.late.Load()
	r.Served, r.Rejected, r.Failed = c.served.Load(), c.rejected.Load(), c.failed.Load()
	if answers := r.Served + r.Rejected + r.Failed; answers != r.Requests {
		d.violation("%d requests, %d final answers", r.Requests, answers)
	}
	if r.Late > 0 {
		d.violation("%d answers came after the client's time was up", r.Late)
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
		d.violation("%d payments (unsafe) reached a box twice", repeatedPayments)
	}
	if int64(len(deliveries)) < r.Served {
		d.violation("%d served, but only %d requests reached a box", r.Served, len(deliveries))
	}
}

// deliveriesByRequest returns how often each request reached an endpoint, by its id. It adds violations of endpoints
// that lost records or were sent requests while they drained.
func (d *demo) deliveriesByRequest() map[string]int {
	deliveries := map[string]int{}
	for _, e := range d.endpoints {
		seen, lost := e.Seen()
		if lost > 0 {
			d.violation("%s kept no record of %d requests", e.Name, lost)
		}
		for _, request := range seen {
			deliveries[request.ID]++
		}
		if n := d.lateSends[e.Name]; n > 0 {
			d.violation("%s was sent %d requests over 500 ms after its drain was told", e.Name, n)
		}
	}
	return deliveries
}
