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
	maxGeneratorDelay = 5 * time.Millisecond                  // maximum lateness of a valid load, see loadgen.Plan.MaxLateness
	maxLoadErrors     = 5                                     // maximum number of errors in LoadResult.Errors
	maxAddedLatency   = int64(time.Minute / time.Microsecond) // in microseconds; larger latencies count as this one
	latencyDigits     = 3                                     // significant digits of the histogram of latencies
)

// LoadResult is the result of sending requests at a rate over a period.
type LoadResult struct {
	Requested, Answered int64         // numbers of requests that were sent, and of those that got a complete response
	Statuses            map[int]int64 // number of responses by status code
	Errors              []string      // errors of the first maxLoadErrors requests that failed
	// AddedLatency has, for each response with status 200, the latency at the client minus the server's own time, in
	// microseconds.
	AddedLatency *hdrhistogram.Histogram
	Connections  int64         // new connections that the servers accepted
	CPU          time.Duration // CPU time of the process during the load; 0 for a direct load
	Wall         time.Duration // wall time of the load
	Invalid      bool          // the load generator was late, so that the latencies are unreliable
}

// requestFunc returns request n of a load. n begins at 0.
type requestFunc func(n int) (*http.Request, error)

// RunLoad sends requests for the first inUse services to the process, at a rate in requests per second.
func (s *ServeProcess) RunLoad(ctx context.Context, rate float64, inUse int, length time.Duration) (*LoadResult, error) {
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

// RunDirectLoad sends requests directly to the fake servers, at a rate in requests per second. The added latency is that of the
// load generator itself.
func (s *ServeProcess) RunDirectLoad(ctx context.Context, rate float64, length time.Duration) (*LoadResult, error) {
	client := newClient("")
	defer client.CloseIdleConnections()
	l := s.runLoad(ctx, client, rate, length, func(n int) (*http.Request, error) {
		url := "http://" + s.Servers[n%len(s.Servers)].Addr() + "/"
		return http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	})
	return l, ctx.Err()
}

// runLoad sends the requests that next returns at a rate in requests per second, and waits for their responses.
func (s *ServeProcess) runLoad(
	ctx context.Context, client *http.Client, rate float64, length time.Duration, next requestFunc,
) *LoadResult {
	l := &LoadResult{Statuses: map[int]int64{}, AddedLatency: hdrhistogram.New(1, maxAddedLatency, latencyDigits)}
	var mu sync.Mutex // guards l
	send := func(_ context.Context, n int, _ time.Time) {
		status, added, err := doRequest(client, n, next)
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
	l.Wall, l.Requested, l.Invalid = time.Since(began), report.Requests[0], report.Invalid
	l.Connections = s.connections() - connections
	return l
}

// record adds the outcome of one request to the result.
func (l *LoadResult) record(status int, added time.Duration, err error) {
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

// doRequest sends request n. For a response with status 200 it returns the latency minus the server's own time, which the
// response has in the header appbox.ResponseTimeHeader; such a response without a valid time is an error.
func doRequest(client *http.Client, n int, next requestFunc) (status int, added time.Duration, err error) {
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
		return 0, 0, fmt.Errorf("response with status 200 has no valid time of the server: %w", err)
	}
	return response.StatusCode, took - time.Duration(own), nil
}

// connections returns how many connections all fake servers together have accepted so far.
func (s *ServeProcess) connections() (sum int64) {
	for _, b := range s.Servers {
		sum += b.Connections()
	}
	return sum
}
