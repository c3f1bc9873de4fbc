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

	// maxDrainDelay is how long after the notification of a drain a request may still be sent to the server.
	maxDrainDelay = 500 * time.Millisecond

	// closeTimeout is how long streams and requests may stay open after the last answer: a decision on a retry
	// waits a while for its caller.
	closeTimeout = 30 * time.Second

	// closePollInterval is the time between two checks of what is open.
	closePollInterval = 10 * time.Millisecond
)

// report adds a finding, unless there are maxFindings.
func (r *rig) report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.findings) < maxFindings {
		r.findings = append(r.findings, fmt.Sprintf(format, args...))
	}
}

// checkSend reports a request that is sent, or an endpoint that is picked, more than maxDrainDelay into a drain. key
// is the endpoint's.
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
			r.report("%s was sent to %v after its drain was told", server.Name, at.Sub(since))
		}
	}
}

// check checks after a run what the servers received, and that nothing stays open.
func (r *rig) check(processor *extproc.Server) {
	received := r.receivedRequests()
	for id, n := range received {
		if strings.HasPrefix(id, kindPay+"-") && n > 1 {
			r.report("%s (unsafe) reached a server %d times", id, n)
		}
		key, isDuplicate := strings.CutSuffix(id, duplicateSuffix)
		if isDuplicate && received[key] > 0 && !r.retryAllowed[key] {
			r.report("%s reached a server beside its key's first request", id)
		}
	}
	open := processor.InFlight()
	for deadline := time.Now().Add(closeTimeout); open != 0 && time.Now().Before(deadline); {
		time.Sleep(closePollInterval)
		open = processor.InFlight()
	}
	if open != 0 {
		r.report("%d streams, or requests, are open at the end", open)
	}
}

// receivedRequests returns how often each request, by its id, reached a server of the cluster.
func (r *rig) receivedRequests() map[string]int {
	received := map[string]int{}
	for _, server := range r.servers {
		seen, lost := server.Seen()
		if lost > 0 {
			r.report("%s kept no record of %d", server.Name, lost)
		}
		if server == r.wrongServer {
			continue // its requests are the proxies' fault
		}
		for _, request := range seen {
			received[request.ID]++
		}
	}
	return received
}
