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
	generatorLate = 5 * time.Millisecond // a load is void beyond; see loadgen.Plan.MaxLateness
	firstFaults   = 5                    // kept of a load, for its report
	longestAdded  = int64(time.Minute / time.Microsecond)
)

// Load is what came of asking for a while.
type Load struct {
	Asked, Answered int64
	Statuses        map[int]int64
	Faults          []string // the first few
	// Added is, for each answer, the client's latency less the time that the server took itself, in microseconds.
	Added       *hdrhistogram.Histogram
	Connections int64         // that servers took meanwhile
	CPU         time.Duration // of the process
	Wall        time.Duration
	Void        bool // the load generator was late itself
}

// Ask has clients ask the process at a rate, spread over the first services that are in use.
func (s *Served) Ask(ctx context.Context, rate float64, inUse int, length time.Duration) (*Load, error) {
	before, err := s.Usage()
	if err != nil {
		return nil, err
	}
	l := s.load(ctx, s.client, rate, length, func(n int) (*http.Request, error) {
		a := s.Generator.Ask(n, inUse)
		return a.request(ctx)
	})
	after, err := s.Usage()
	l.CPU = after.CPU - before.CPU
	return l, errors.Join(err, ctx.Err())
}

// AskDirectly has the same clients ask the stand-in servers, past the process: what of the added latency is the
// clients' own.
func (s *Served) AskDirectly(ctx context.Context, rate float64, length time.Duration) (*Load, error) {
	client := newClient("")
	defer client.CloseIdleConnections()
	l := s.load(ctx, client, rate, length, func(n int) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Boxes[n%len(s.Boxes)].Addr()+"/", nil)
	})
	return l, ctx.Err()
}

// request makes what clients send.
func (a Ask) request(ctx context.Context) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Host+a.Path, nil)
	if err != nil {
		return nil, err
	}
	if a.Tenant != "" {
		q.Header.Set("X-Tenant-Id", a.Tenant)
	}
	if a.Key != "" {
		q.Header.Set("Idempotency-Key", a.Key)
	}
	return q, nil
}

func (s *Served) load(ctx context.Context, client *http.Client, rate float64, length time.Duration, next func(n int) (*http.Request, error)) *Load {
	l := &Load{Statuses: map[int]int64{}, Added: hdrhistogram.New(1, longestAdded, 3)}
	var mu sync.Mutex // guards l
	connections := s.connections()
	began := time.Now()
	report := loadgen.Run(ctx, loadgen.Plan{
		Duration: length, MaxInFlight: openLimit, Seed: s.Generator.Seed, MaxLateness: generatorLate,
		Streams: []loadgen.Stream{{Rate: rate, Curve: model.Curve{}, Do: func(_ context.Context, n int, _ time.Time) {
			status, added, err := ask(client, n, next)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				if len(l.Faults) < firstFaults {
					l.Faults = append(l.Faults, err.Error())
				}
				return
			}
			l.Answered++
			l.Statuses[status]++
			if status == http.StatusOK {
				l.Added.RecordValue(min(max(1, added.Microseconds()), longestAdded))
			}
		}}},
	})
	l.Wall, l.Asked, l.Void = time.Since(began), report.Requests[0], report.Invalid
	l.Connections = s.connections() - connections
	return l
}

// ask makes one request, and gives its status and what its answer took beyond the server's own time.
func ask(client *http.Client, n int, next func(n int) (*http.Request, error)) (status int, added time.Duration, err error) {
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
	own, err := strconv.ParseInt(a.Header.Get(appbox.ResponseTimeHeader), 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("an answer without the server's own time: %w", err)
	}
	return a.StatusCode, took - time.Duration(own), nil
}

// connections is how many connections all servers have taken.
func (s *Served) connections() (sum int64) {
	for _, b := range s.Boxes {
		sum += b.Connections()
	}
	return sum
}
