package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokestall/internal/fake/appbox"
	"yokestall/internal/loadgen"
	"yokestall/internal/model"
)

const (
	maxGeneratorDelay = 5 * time.Millisecond // a load is void beyond, see loadgen.Plan.Late
	maxLoadErrors     = 5                    // of a load's errors, those that its report has
	maxAddedLatency   = int64(time.Minute / time.Microsecond)
	latencyDigits     = 3 // significant, of the histogram of latencies
)

// Load is the result of requests over a period.
type Load struct {
	Requested, Answered int64         // requests
	Statuses            map[int]int64 // answers by status
	Errors              []string      // of the first requests without an answer
	// AddedLatency has for each answer of status 200 the client's latency less the server's own time, in microseconds.
	AddedLatency *hdrhistogram.Histogram
	Connections  int64         // that the servers accepted
	CPU          time.Duration // of the process
	Wall         time.Duration
	Void         bool // the load generator was late, so that the latencies are unreliable
}

// requestFunc makes request n of a load, from 0.
type requestFunc func(n int) (*http.Request, error)

// RunLoad sends the process requests at a rate, in requests a second, to the first inUse services.
func (s *ServeProcess) RunLoad(ctx context.Context, rate float64, inUse int, length time.Duration) (*Load, error) {
	before, err := s.Usage()
	if err != nil {
		return nil, err
	}
	l := s.runLoad(ctx, s.client, rate, length, func(n int) (*http.Request, error) {
		return s.Generator.Request(n, inUse).request(ctx)
	})
	after, err := s.Usage()
	l.CPU = after.CPU - before.CPU
	return l, errors.Join(err, ctx.Err())
}

// RunDirectLoad sends requests to the fake servers without the process: its added latency is the load generator's own.
func (s *ServeProcess) RunDirectLoad(ctx context.Context, rate float64, length time.Duration) (*Load, error) {
	client := newClient("")
	defer client.CloseIdleConnections()
	l := s.runLoad(ctx, client, rate, length, func(n int) (*http.Request, error) {
		url := "http://" + s.Servers[n%len(s.Servers)].Addr() + "/"
		return http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	})
	return l, ctx.Err()
}

// runLoad sends the requests of next at a rate and waits for their answers.
func (s *ServeProcess) runLoad(
	ctx context.Context, client *http.Client, rate float64, length time.Duration, next requestFunc,
) *Load {
	l := &Load{Statuses: map[int]int64{}, AddedLatency: hdrhistogram.New(1, maxAddedLatency, latencyDigits)}
	var mu sync.Mutex // guards l
	send := func(_ context.Context, n int, _ time.Time) {
		status, added, err := do(client, n, next)
		mu.Lock()
		defer mu.Unlock()
		l.record(status, added, err)
	}
	connections := s.connections()
	began := time.Now()
	report := loadgen.Run(ctx, loadgen.Plan{
		Duration: length, MaxInFlight: maxOpenRequests, Seed: s.Generator.Seed, MaxLateness: maxGeneratorDelay,
		Streams: []loadgen.Stream{{Rate: rate, Curve: model.Curve{}, Do: send}},
	})
	l.Wall, l.Requested, l.Void = time.Since(began), report.Requests[0], report.Invalid
	l.Connections = s.connections() - connections
	return l
}

// record adds the outcome of a request.
func (l *Load) record(status int, added time.Duration, err error) {
	if err != nil {
		if len(l.Errors) < maxLoadErrors {
			l.Errors = append(l.Errors, err.Error())
		}
		return
	}
	l.Answered++
	l.Statuses[status]++
	if status == http.StatusOK {
		l.AddedLatency.RecordValue(min(max(1, added.Microseconds()), maxAddedLatency))
	}
}

// do sends request n. For an answer of status 200 it returns the latency beyond the server's own time; an answer that
// doesn't give that time is an error.
func do(client *http.Client, n int, next requestFunc) (status int, added time.Duration, err error) {
	request, err := next(n)
	if err != nil {
		return 0, 0, err
	}
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0, err
	}
	took := time.Since(sent)
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, 0, nil
	}
	own, err := strconv.ParseInt(response.Header.Get(appbox.ResponseTimeHeader), 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("an answer without the server's own time: %w", err)
	}
	return response.StatusCode, took - time.Duration(own), nil
}

// connections returns how many connections all servers have accepted so far.
func (s *ServeProcess) connections() (sum int64) {
	for _, b := range s.Servers {
		sum += b.Connections()
	}
	return sum
}
