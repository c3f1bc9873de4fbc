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

// MaxServers is the maximum number of servers in an experiment on sockets.
const MaxServers = 64

const (
	// maxGeneratorLateness is the lateness of the load generator above which a run is void; see
	// loadgen.Plan.MaxLateness.
	maxGeneratorLateness = 20 * time.Millisecond
	// maxOpenRequests is the maximum number of requests that the clients have open at once.
	maxOpenRequests = 4096
	// clientSeedOffset is the number of the first class's random sequence. It keeps the clients' sequences, one for each
	// class, apart from other sequences of the same seed.
	clientSeedOffset = 100
)

// deployment is the program under test as it is deployed in a run. Its methods are safe for concurrent use.
type deployment interface {
	// publish makes the run's present endpoints known to the program.
	publish() error
	// drainPublished is called once for each server that drains, with its serial number, after the drain was published.
	drainPublished(serial int)
	// serverReplaced is called after a new server has taken a slot.
	serverReplaced(slot int)
	// startAttempt prepares an attempt at a request of a class, with the attempt's id. It returns the context and the base URL
	// for the attempt, and a function that the caller calls once with the HTTP status, or with 0 if there was no answer.
	startAttempt(ctx context.Context, class int, id string) (attemptContext context.Context, url string, finish func(int))
}

// run is the state of an experiment that is being played.
type run struct {
	experiment *lab.Experiment
	deployment deployment
	transport  *http.Transport
	began      time.Time

	mu         sync.Mutex         // guards the fields below
	slots      []*server          // the present server of each slot
	servers    []*modelbox.Server // all servers that were started, including replaced ones
	lastSerial int
	slotByKey  map[uint64]int // slots by endpoint key
	random     []*rand.Rand   // the clients' random numbers, by class
	result     *fleetsim.Result
	seconds    []weightInSecond
}

// weightInSecond is the priority weight of the requests that were due in one second, and the part of it that was earned.
type weightInSecond struct{ earned, offered float64 }

// newRun makes a run and starts the experiment's servers. The caller calls close, also after an error.
func newRun(e *lab.Experiment) (*run, error) {
	r := &run{
		experiment: e,
		transport:  &http.Transport{MaxIdleConnsPerHost: maxOpenRequests},
		result:     &fleetsim.Result{},
		slotByKey:  map[uint64]int{},
	}
	for i := range e.Day.Servers {
		if err := r.startServer(i, false); err != nil {
			return r, err
		}
	}
	return r, nil
}

// close stops all servers.
func (r *run) close() {
	for _, s := range r.servers {
		s.Close()
	}
}

// loadPlan returns the experiment's load for the load generator, and sets up the random numbers and the results of each
// class.
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

// checkFaults returns an error for the first fault that can be played in virtual time only.
func checkFaults(e *lab.Experiment) error {
	for i, t := range e.Day.Faults {
		if t.RestoreSnapshot || t.RestartSpeed > 0 || t.BufferReplies {
			return fmt.Errorf("%s: trouble %d: knows, smaller and holds are allowed in virtual time only", e.Name, i+1)
		}
	}
	return nil
}
