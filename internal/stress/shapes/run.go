package shapes

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/testutil"
)

// DrawMany draws count shapes with the seed.
func DrawMany(seed uint64, count int, draw func(*rand.Rand) Shape) (list []Shape) {
	random := rand.New(rand.NewPCG(seed, 0))
	for range count {
		list = append(list, draw(random))
	}
	return list
}

// Options configure RunAll.
type Options struct {
	Addr   string        // address of the server under test
	AtOnce int           // number of exchanges that run at the same time
	Every  time.Duration // time between the starts of two exchanges, if places are free
	// MayRefuse tolerates refusals, where the server lacks capacity on purpose.
	MayRefuse bool
}

// Report is the result of RunAll.
type Report struct {
	Passed, Refused int
	Failures        []string // descriptions of the exchanges that broke a rule
}

// lastRun makes the IDs of requests differ between runs.
var lastRun atomic.Int64

// RunAll runs the exchanges, some of them at the same time.
func RunAll(o Options, list []Shape) (report Report) {
	makeBodies(list)
	places := make(chan struct{}, o.AtOnce)
	run := lastRun.Add(1)
	var mu sync.Mutex
	var running sync.WaitGroup
	for i, s := range list {
		places <- struct{}{}
		running.Go(func() {
			defer func() { <-places }()
			err := s.Check(s.Run(o.Addr, fmt.Sprintf("shape-%d-%d", run, i)))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				report.Passed++
			case errors.Is(err, ErrRefused) && o.MayRefuse:
				report.Refused++
			default:
				report.Failures = append(report.Failures, fmt.Sprintf("%v: %v", s, err))
			}
		})
		time.Sleep(o.Every)
	}
	running.Wait()
	return report
}

// makeBodies makes the bytes of the longest body, for which the clients would otherwise wait while their time runs.
func makeBodies(list []Shape) {
	longest := 0
	for _, s := range list {
		longest = max(longest, s.Request.Size, s.Answer.Size)
	}
	testutil.Bytes(longest)
}

// slowUploadTime is the time that each upload of StartSlowUploads takes.
const slowUploadTime = 4 * time.Second

// StartSlowUploads starts clients that send large requests slowly, one after the other, and returns once each has begun. stop
// ends them.
func StartSlowUploads(addr string, clients int, classes []Class) (stop func()) {
	ended := make(chan struct{})
	var running sync.WaitGroup
	run := lastRun.Add(1)
	for i := range clients {
		running.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 1))
			for n := 0; ; n++ {
				s := drawRequest(random, classes, 5*time.Second)
				s.Request = Message{Framing: drawUploadFraming(random), Size: LargeSize(random), WriteFor: slowUploadTime}
				go s.Run(addr, fmt.Sprintf("slow-%d-%d-%d", run, i, n))
				select {
				case <-ended:
					return
				case <-time.After(slowUploadTime):
				}
			}
		})
	}
	time.Sleep(slowUploadTime / 4)
	return func() {
		close(ended)
		running.Wait()
	}
}
