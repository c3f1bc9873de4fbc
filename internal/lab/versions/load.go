package versions

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"yokestall/internal/fake/fleet"
)

const (
	maxOpenRequests = 512 // over all processes
	loadSequence    = 40  // number of the load's random sequence for the run's seed
	requestTimeout  = time.Second
)

// load sends requests to processes selected at random, at the experiment's rate, until ctx ends. It then waits for the
// requests that are open.
func (r *run) load(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, loadSequence))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.Rate))
	defer ticker.Stop()
	open := make(chan struct{}, maxOpenRequests)
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		node, classIndex := random.IntN(r.Nodes), random.IntN(len(classes))
		select {
		case open <- struct{}{}:
			requests.Go(func() {
				r.request(node, classIndex, fmt.Sprint("r", i))
				<-open
			})
		default: // all open requests wait, for example for paused processes: skip this request
		}
	}
}

// request sends a request of a class to a process, and counts its answer.
func (r *run) request(node, classIndex int, id string) {
	c := &classes[classIndex]
	request, err := r.newRequest(node, c, id)
	if err != nil {
		return
	}
	r.requested.Add(1)
	r.rig.Record.Add(fleet.Event{Kind: fleet.RequestSent, Party: node, ID: id, Class: classIndex})
	response, err := r.client.Do(request)
	if err != nil {
		r.failed.Add(1)
		return
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		r.served.Add(1)
		stamp, err := strconv.Atoi(response.Header.Get(stampHeader))
		if err == nil && !c.idempotent {
			r.setLastStamp(node, stamp)
		}
	case http.StatusServiceUnavailable:
		r.rejected.Add(1)
	default:
		r.failed.Add(1)
	}
}

// newRequest makes a request of a class, with an id, to a process.
func (r *run) newRequest(node int, c *class, id string) (*http.Request, error) {
	method := http.MethodPost
	if c.idempotent {
		method = http.MethodGet
	}
	request, err := http.NewRequest(method, "http://"+r.rig.Processes[node].Addr+"/"+c.name, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(requestIDHeader, id)
	request.Header.Set(timeoutHeader, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	if c.keyed {
		request.Header.Set(idempotencyKeyHeader, id)
	}
	return request, nil
}

// setLastStamp records the stamp of a process's answer and signals answered.
func (r *run) setLastStamp(node, stamp int) {
	r.mu.Lock()
	r.lastStamp[node] = stamp
	r.mu.Unlock()
	select {
	case r.answered <- struct{}{}:
	default:
	}
}
