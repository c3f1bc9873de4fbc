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
	maxGeneratorDelay = 5 * time.Millisecond // a load is void beyond; see loadgen.Plan.Late
	maxLoadErrors     = 5                    // kept of a load, for its report
	maxAddedLatency   = int64(time.Minute / time.Microsecond)
)

// Load is what came of asking for a while.
type Load struct {
	Requested, Answered int64
	Statuses            map[int]int64
	Errors              []string // the first few
	// AddedLatency is, for each answer, the client's latency less the time that the server took itself, in microseconds.
	AddedLatency *hdrhistogram.Histogram
	Connections  int64         // that servers took meanwhile
	CPU          time.Duration // of the process
	Wall         time.Duration
	Void         bool // the load generator was late itself
}

// RunLoad has clients ask the process at a rate, spread over the first services that are in use.
func (s *ServeProcess) RunLoad(ctx context.Context, rate float64, inUse int, length time.Duration) (*Load, error) {
	before, err := s.Usage()
	if err != nil {
		return nil, err
	}
	l := s.runLoad(ctx, s.client, rate, length, func(n int) (*http.Request, error) {
		a := s.Generator.Request(n, inUse)
		return a.request(ctx)
	})
	after, err := s.Usage()
	l.CPU = after.CPU - before.CPU
	return l, errors.Join(err, ctx.Err())
}

// RunDirectLoad has the same clients ask the stand-in servers, past the process: what of the added latency is the
// clients' own.
func (s *ServeProcess) RunDirectLoad(ctx context.Context, rate float64, length time.Duration) (*Load, error) {
	client := newClient("")
	defer client.CloseIdleConnections()
	l := s.runLoad(ctx, client, rate, length, func(n int) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Servers[n%len(s.Servers)].Addr()+"/", nil)
	})
	return l, ctx.Err()
}

func (s *ServeProcess) runLoad(ctx context.Context, client *http.Client, rate float64, length time.Duration, next func(n int) (*http.Request, error)) *Load {
	l := &Load{Statuses: map[int]int64{}, AddedLatency: hdrhistogram.New(1, maxAddedLatency, 3)}
	var mu sync.Mutex // guards l
	connections := s.connections()
	began := time.Now()
	report := loadgen.Run(ctx, loadgen.Plan{
		Length: length, Open: maxOpenRequests, Seed: s.Generator.Seed, Late: maxGeneratorDelay,
		Streams: []loadgen.Stream{{Rate: rate, Curve: model.Curve{}, Do: func(_ context.Context, n int, _ time.Time) {
			status, added, err := do(client, n, next)
			mu.Lock()
			defer mu.Unlock()
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
		}}},
	})
	l.Wall, l.Requested, l.Void = time.Since(began), report.Asked[0], report.Void
	l.Connections = s.connections() - connections
	return l
}

// do makes one request, and gives its status and what its answer took beyond the server's own time.
func do(client *http.Client, n int, next func(n int) (*http.Request, error)) (status int, added time.Duration, err error) {
	q, err := next(n)
	if err != nil {
		return 0, 0, err
	}
	sent := time.Now()
	a, err := client.Do(q)
	if err != nil {
		return 0, 0, err
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0, 0, err
	}
	took := time.Since(sent)
	if a.StatusCode != http.StatusOK {
		return a.StatusCode, 0, nil
	}
	own, err := strconv.ParseInt(a.Header.Get(appbox.OwnTime), 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("an answer without the server's own time: %w", err)
	}
	return a.StatusCode, took - time.Duration(own), nil
}

// connections is how many connections all servers have taken.
func (s *ServeProcess) connections() (sum int64) {
	for _, b := range s.Servers {
		sum += b.Connections()
	}
	return sum
}
