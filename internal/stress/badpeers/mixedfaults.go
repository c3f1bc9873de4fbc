package badpeers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/fake/webpeer"
)

const (
	// mixedWorkers is the number of clients that send requests concurrently to each deployment.
	mixedWorkers = 8

	// drainInterval is the time between two changes of which endpoint is draining.
	drainInterval = 20 * time.Millisecond
)

// protocolPair holds the protocol of the clients and the protocol of the server.
type protocolPair struct{ front, back webpeer.Protocol }

// protocolPairs returns pairs that cover each protocol for the clients and each protocol for the server.
func protocolPairs() []protocolPair {
	all := webpeer.AllProtocols()
	return []protocolPair{{all[0], all[0]}, {all[3], all[3]}, {all[2], all[1]}, {all[1], all[2]}}
}

// outcomes counts requests by outcome. The field answered counts every request whose call returned.
type outcomes struct{ answered, complete, truncated, rejected atomic.Int64 }

// mixedFaults sends requests of many sizes while the server fails or truncates about a tenth of the answers and the
// endpoints are drained and restored. Each request must have one answer, which is complete, an error or visibly
// truncated, and no request that is not idempotent may be executed twice.
func (r *rig) mixedFaults(ctx context.Context) (string, error) {
	pairs := protocolPairs()
	requestsPerWorker := r.Requests / len(pairs) / mixedWorkers
	var counts outcomes
	var deployments sync.WaitGroup
	for i, pair := range pairs {
		d, err := r.deploy(pair.front, pair.back)
		if err != nil {
			return "", err
		}
		deployments.Go(func() {
			defer d.close()
			r.mixedFaultsOver(ctx, d, uint64(i), requestsPerWorker, &counts)
		})
	}
	deployments.Wait()
	if n := int64(requestsPerWorker * len(pairs) * mixedWorkers); counts.answered.Load() != n {
		r.report("sent %d requests, got %d answers", n, counts.answered.Load())
	}
	return fmt.Sprintf("%d answers: %d complete, %d visibly truncated or failed, %d rejected",
		counts.answered.Load(), counts.complete.Load(), counts.truncated.Load(), counts.rejected.Load()), nil
}

// mixedFaultsOver runs the scenario over one deployment. Each worker sends requestsPerWorker requests.
func (r *rig) mixedFaultsOver(ctx context.Context, d *deployment, seed uint64, requestsPerWorker int, counts *outcomes) {
	draining, stopDraining := context.WithCancel(ctx)
	var drains, workers sync.WaitGroup
	drains.Go(func() { r.drainInTurn(draining, d) })
	for worker := range mixedWorkers {
		rng := rand.New(rand.NewPCG(seed, uint64(worker)))
		workers.Go(func() {
			for range requestsPerWorker {
				if err := d.sendRandom(ctx, rng, r.Largest, counts); err != nil {
					r.report("%s: %v", d, err)
				}
			}
		})
	}
	workers.Wait()
	stopDraining()
	drains.Wait()
	for id, n := range d.server.Executed("/pay/") {
		if n > 1 {
			r.report("request %s, which is not idempotent, was executed %d times", id, n)
		}
	}
}

// drainInTurn applies versions in which first no endpoint and then each endpoint in turn drains. It repeats this until
// ctx ends.
func (r *rig) drainInTurn(ctx context.Context, d *deployment) {
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainInterval):
		}
		draining := i%(serverAddresses+1) + noneDraining
		if err := d.app.Apply(d.snapshot(draining)); err != nil {
			r.report("load balancer rejected a version: %v", err)
		}
	}
}

// mixedRequest is a request of the mixed faults scenario.
type mixedRequest struct {
	path, instruction string
	body              []byte
	answerSize        int  // size of the body of a complete answer, in bytes
	fault             bool // whether the server truncates the answer or answers with an error
}

// randomRequest returns a random request. Most bodies are small: their sizes are drawn on a logarithmic scale, and one
// answer in 200 has at least 1 MiB, if largest allows it. largest is the maximum size of an answer in bytes.
func randomRequest(rng *rand.Rand, largest int) mixedRequest {
	q := mixedRequest{path: "/x", answerSize: min(largest, 1<<rng.IntN(17))}
	if rng.IntN(200) == 0 {
		q.answerSize = min(largest, 1<<(20+rng.IntN(7)))
	}
	framing := []string{"known", "unknown", "trailer"}[rng.IntN(3)]
	q.instruction = fmt.Sprintf("%s %d", framing, q.answerSize)
	if rng.IntN(2) == 0 {
		q.path = "/pay/x"
	}
	if q.fault = rng.IntN(10) == 0; q.fault {
		q.instruction = []string{"break", "break 10", "break 200000", "status 500"}[rng.IntN(4)]
	}
	q.body = webpeer.Pattern(rng.IntN(1 << rng.IntN(18)))
	return q
}

// sendRandom sends a random request and counts its outcome. The error describes an answer that breaks a rule.
func (d *deployment) sendRandom(ctx context.Context, rng *rand.Rand, largest int, counts *outcomes) error {
	q := randomRequest(rng, largest)
	var conn httptrace.GotConnInfo
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info },
	})
	resp, err := d.send(ctx, q.path, q.instruction, io.NopCloser(bytes.NewReader(q.body)))
	counts.answered.Add(1)
	if err != nil {
		if !q.fault {
			return fmt.Errorf("request %s %s with a body of %d bytes failed (connection reused: %v, was idle: %v, for %v): %w",
				q.path, q.instruction, len(q.body), conn.Reused, conn.WasIdle, conn.IdleTime, err)
		}
		counts.truncated.Add(1)
		return nil
	}
	defer resp.Body.Close()
	return q.checkAnswer(resp, counts)
}

// checkAnswer reads an answer and counts its outcome. The error describes an answer that breaks a rule.
func (q *mixedRequest) checkAnswer(resp *http.Response, counts *outcomes) error {
	text, err := io.ReadAll(resp.Body)
	status := resp.StatusCode
	switch {
	case err == nil && status == http.StatusOK && !q.fault && bytes.Equal(text, webpeer.Pattern(q.answerSize)):
		counts.complete.Add(1)
	case err == nil && status == http.StatusOK:
		return fmt.Errorf("request %s %s: a wrong body of %d bytes was delivered as complete", q.path, q.instruction, len(text))
	case err == nil && status == http.StatusServiceUnavailable:
		counts.rejected.Add(1)
	case q.fault || err == nil && status == http.StatusBadGateway:
		counts.truncated.Add(1)
	default:
		return fmt.Errorf("request %s %s: unexpected status %d or read error: %v", q.path, q.instruction, status, err)
	}
	return nil
}
