package sockets

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokestall/internal/fake/modelbox"
	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
	"yokestall/internal/loadgen"
)

// MaxServers is how many servers an experiment may have on sockets.
const MaxServers = 64

const (
	// maxGeneratorLateness is how late the load generator may be before a run is void; see loadgen.Plan.Late.
	maxGeneratorLateness = 20 * time.Millisecond
	// maxOpenRequests is how many clients' requests may be open at once.
	maxOpenRequests = 4096
	// clientSeedOffset keeps the clients' random numbers, a sequence for each class, apart from others of the same seed.
	clientSeedOffset = 100
)

// deployment is the program under test. Its methods are safe for concurrent use.
type deployment interface {
	// publish makes the run's present endpoints known to the program.
	publish() error
	// drainPublished is called once for each server, with its serial number, after its drain was published.
	drainPublished(serial int)
	// serverReplaced is called after another server has taken the place at an index.
	serverReplaced(index int)
	// startAttempt prepares an attempt of a class with a request id. It returns the context and the base URL for the
	// attempt, and a function that the caller calls with the final HTTP status; 0: there was no answer.
	startAttempt(ctx context.Context, class int, id string) (attemptContext context.Context, url string, finish func(int))
}

// run is an experiment while it is played.
type run struct {
	experiment *lab.Experiment
	deployment deployment
	transport  *http.Transport
	began      time.Time

	mu         sync.Mutex // guards what follows
	places     []*server
	servers    []*modelbox.Server // all that were started, with those that were replaced
	lastSerial int
	placeByKey map[uint64]int // by endpoint key
	random     []*rand.Rand   // by class
	result     *fleetsim.Result
	seconds    []weightInSecond
}

// weightInSecond is the priority weight of the requests that were due in a second.
type weightInSecond struct{ earned, offered float64 }

// newRun starts the experiment's servers. The caller calls close, even after an error.
func newRun(e *lab.Experiment) (*run, error) {
	r := &run{
		experiment: e,
		transport:  &http.Transport{MaxIdleConnsPerHost: maxOpenRequests},
		result:     &fleetsim.Result{},
		placeByKey: map[uint64]int{},
	}
	for i := range e.Day.Servers {
		if err := r.startServer(i, false); err != nil {
			return r, err
		}
	}
	return r, nil
}

// close ends all servers.
func (r *run) close() {
	for _, s := range r.servers {
		s.Close()
	}
}

// loadPlan returns the experiment's load, and makes what the clients of each class need.
func (r *run) loadPlan() loadgen.Plan {
	day := &r.experiment.Day
	r.seconds = make([]weightInSecond, int(day.Length/time.Second)+1)
	plan := loadgen.Plan{
		Duration:    day.Length,
		MaxInFlight: maxOpenRequests,
		Seed:        r.experiment.Seed,
		MaxLateness: maxGeneratorLateness,
	}
	for class := range day.Classes {
		times := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		r.result.Classes = append(r.result.Classes, fleetsim.ClassResult{Latencies: times})
		source := rand.NewPCG(r.experiment.Seed, uint64(clientSeedOffset+class))
		r.random = append(r.random, rand.New(source))
		plan.Streams = append(plan.Streams, loadgen.Stream{
			Rate:  day.Classes[class].Rate,
			Curve: day.Load,
			Do:    func(ctx context.Context, n int, due time.Time) { r.request(ctx, class, n, due) },
		})
	}
	return plan
}

// checkFaults reports a fault that can be played in virtual time alone.
func checkFaults(e *lab.Experiment) error {
	for i, t := range e.Day.Faults {
		if t.RestoreSnapshot || t.RestartSpeed > 0 || t.BufferReplies {
			return fmt.Errorf("%s: trouble %d: knows, smaller and holds are of virtual time", e.Name, i+1)
		}
	}
	return nil
}
