package callers

import (
	"fmt"
	"strings"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/downstream/extproc"
)

const (
	// maxFindings is the number of findings after which a run discards further ones.
	maxFindings = 20

	// maxDrainDelay is the maximum time between the notification that a server is draining and the last request that
	// is sent to this server.
	maxDrainDelay = 500 * time.Millisecond

	// closeTimeout is the maximum time for which streams and requests may stay open after the last answer. They may
	// stay open because a retry decision waits for some time for its caller.
	closeTimeout = 30 * time.Second

	// closePollInterval is the time between two checks for open streams and requests.
	closePollInterval = 10 * time.Millisecond
)

// report adds a finding. It discards the finding if the run has maxFindings already.
func (r *rig) report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.findings) < maxFindings {
		r.findings = append(r.findings, fmt.Sprintf(format, args...))
	}
}

// checkSend reports a finding if a request was sent to an endpoint, or the endpoint was picked, more than maxDrainDelay
// after the load balancer was notified that the endpoint is draining. key is the key of the endpoint, and at is the time
// of the attempt or of the pick.
func (r *rig) checkSend(_ string, key uint64, at time.Time) {
	for i, server := range r.servers {
		endpoint := cluster.Endpoint{ID: server.Name, Address: server.Addr()}
		if endpoint.Key() != key {
			continue
		}
		r.mu.Lock()
		since := r.drainingSince[i]
		r.mu.Unlock()
		if !since.IsZero() && at.After(since.Add(maxDrainDelay)) {
			r.report("server %s was sent a request or was picked %v after its drain notification", server.Name, at.Sub(since))
		}
	}
}

// check checks, after a run, that the servers received no request contrary to the rules and that no stream or request
// stays open.
func (r *rig) check(processor *extproc.Server) {
	received := r.receivedRequests()
	for id, receipts := range received {
		if strings.HasPrefix(id, kindPay+"-") && len(receipts) > 1 {
			r.report("request %s (unsafe) reached a server %d times: %v", id, len(receipts), receipts)
		}
		key, isDuplicate := strings.CutSuffix(id, duplicateSuffix)
		if isDuplicate && len(received[key]) > 0 && !r.retryAllowed[key] {
			r.report("duplicate %s reached a server in addition to the first request with the same idempotency key", id)
		}
	}
	open := processor.InFlight()
	for deadline := time.Now().Add(closeTimeout); open != 0 && time.Now().Before(deadline); {
		time.Sleep(closePollInterval)
		open = processor.InFlight()
	}
	if open != 0 {
		r.report("%d streams or requests are still open after the run", open)
	}
}

// receipt is one arrival of a request at a server of the cluster.
type receipt struct {
	server, path string
	at           time.Time
}

// String implements fmt.Stringer.
func (r receipt) String() string {
	return fmt.Sprintf("%s %s at %s", r.server, r.path, r.at.Format("05.000000"))
}

// receivedRequests returns, by request ID, the arrivals of each request at the servers of the cluster.
func (r *rig) receivedRequests() map[string][]receipt {
	received := map[string][]receipt{}
	for _, server := range r.servers {
		seen, lost := server.Seen()
		if lost > 0 {
			r.report("server %s discarded the records of %d requests", server.Name, lost)
		}
		if server == r.wrongServer {
			continue // faulty proxies send requests here, not the load balancer
		}
		for _, request := range seen {
			received[request.ID] = append(received[request.ID], receipt{server.Name, request.Path, request.At})
		}
	}
	return received
}
