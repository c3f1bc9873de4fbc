// Package callers is a rig that puts the external processor between proxies that misbehave and
// servers that die and drain, and counts what came of each request against what the servers saw.
// All is in one process, on loopback, and ends by itself.
//
//	go run ./internal/stress/callers/run [-requests N]
package callers

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"yokestall/internal/app"
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/downstream/extproc"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/proxy"
	"yokestall/internal/files"
)

// Program is the rig's configuration: both ways, and a class of each effect.
const Program = `[listen]
address = "127.0.0.1:0"
[files]
clusters = "none"
max_removed_share = 1
[extproc]
address = "127.0.0.1:0"
report = "200ms"
[limits]
attempts = 3
max_retry_after = "600ms"
[[class]]
name = "read"
effect = "safe"
deadline = "5s"
[[class]]
name = "push"
effect = "keyed"
scope = "all"
window = "60s"
deadline = "5s"
[[class]]
name = "pay"
effect = "unsafe"
deadline = "5s"
[[host]]
[[host.route]]
prefix = "/pick/push/"
class = "push"
cluster = "rooms"
processor = "pick"
[[host.route]]
prefix = "/pick/pay/"
class = "pay"
cluster = "rooms"
processor = "pick"
[[host.route]]
prefix = "/pick/"
class = "read"
cluster = "rooms"
processor = "pick"
[[host.route]]
prefix = "/push/"
class = "push"
cluster = "rooms"
[[host.route]]
prefix = "/pay/"
class = "pay"
cluster = "rooms"
[[host.route]]
prefix = "/"
class = "read"
cluster = "rooms"
`

// drainRule is how long after word of a drain nothing new may go to a server.
const drainRule = 500 * time.Millisecond

// patience is how long a caller waits, beyond every class's deadline: whether an answer is in time is held
// where it is given, and not by how fast this process is. What callers left may be open as long.
const patience = 30 * time.Second

// Options are what a run may be told.
type Options struct {
	Requests int
	Callers  int // at once, 1 or more
	Out      io.Writer
	Log      *slog.Logger
}

// Run plays a run. Findings are what must not be; the error is of the rig itself.
func Run(ctx context.Context, o Options) (found []string, err error) {
	const servers = 6
	r := &rig{Options: o, again: map[string]bool{}}
	for i := range servers + 1 {
		b, err := appbox.Start(fmt.Sprintf("box-%d", i))
		if err != nil {
			return nil, err
		}
		defer b.Down()
		r.boxes = append(r.boxes, b)
	}
	r.wrong = r.boxes[servers] // in no version
	if r.program, err = config.ParseProgram("callers.toml", []byte(Program)); err != nil {
		return nil, err
	}
	a, err := app.New(r.version(-1), app.Options{Seed: 1, Log: o.Log, OnSend: r.sent})
	if err != nil {
		return nil, err
	}
	defer a.Close()
	r.app = a
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	processor := a.NewProcessor(r.program.ExtProc)
	processor.OnEndpointPicked = func(id, address string, left time.Duration) {
		if left <= 0 {
			r.broken("%s was named %s %v after its time was up", id, address, -left)
		}
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := a.ServeProcessor(running, l, processor, r.program.ExtProc); err != nil {
			r.broken("the processor ended: %v", err)
		}
	})
	r.faults(running, &serving)
	began := time.Now()
	err = r.load(ctx, l.Addr().String())
	stop()
	serving.Wait()
	if err != nil {
		return nil, err
	}
	r.check(processor)
	s := &processor.Stats
	fmt.Fprintf(o.Out, "%d requests in %.1f s: %d answered by servers, %d refused, %d failed, %d conflicts, %d whose caller left\n",
		o.Requests, time.Since(began).Seconds(), r.served.Load(), r.refused.Load(), r.failed.Load(), r.conflicts.Load(), r.left.Load())
	fmt.Fprintf(o.Out, "%d carried, %d picked with %d servers named; %d repeats answered, %d strays, %d never told\n",
		s.Forwarded.Load(), s.Picked.Load(), s.EndpointsPicked.Load(), s.Duplicates.Load(), s.EndpointMismatches.Load(), s.UnreportedOutcomes.Load())
	for _, f := range r.found {
		fmt.Fprintln(o.Out, "broken:", f)
	}
	return r.found, nil
}

type rig struct {
	Options
	program *config.Program
	app     *app.App
	boxes   []*appbox.Box
	wrong   *appbox.Box

	served, refused, failed, conflicts, left atomic.Int64

	mu    sync.Mutex
	found []string
	again map[string]bool // keys whose request was refused: the module's word that again does no harm
	told  [16]time.Time   // by place in boxes: since when one drains; zero: it does not
}

// most is how many findings are told.
const most = 20

func (r *rig) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.found) < most {
		r.found = append(r.found, fmt.Sprintf(format, args...))
	}
}

// version has one box drain; -1: none.
func (r *rig) version(draining int) *files.Snapshot {
	c := &cluster.Config{Name: "rooms", ShrinkTo: cluster.ShrinkUnspecified}
	for i, b := range r.boxes {
		if b == r.wrong {
			continue
		}
		e := cluster.Endpoint{ID: b.Name, Address: b.Addr(), Weight: 1}
		if i == draining {
			e.Health = cluster.Draining
		}
		c.Endpoints = append(c.Endpoints, e)
	}
	return &files.Snapshot{Program: r.program, Version: &cluster.Version{Clusters: map[string]*cluster.Config{c.Name: c}}}
}

// sent holds each send, or naming, to the rule on drains.
func (r *rig) sent(_ string, server uint64, at time.Time) {
	for i, b := range r.boxes {
		e := cluster.Endpoint{ID: b.Name, Address: b.Addr()}
		if e.Key() != server {
			continue
		}
		r.mu.Lock()
		told := r.told[i]
		r.mu.Unlock()
		if !told.IsZero() && at.After(told.Add(drainRule)) {
			r.broken("%s was sent to %v after its drain was told", b.Name, at.Sub(told))
		}
	}
}

// faults has boxes drain, die and come back until ctx ends.
func (r *rig) faults(ctx context.Context, run *sync.WaitGroup) {
	wait := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d): // a pace
			return true
		}
	}
	run.Go(func() {
		for i := 0; ; i = (i + 1) % 3 { // each drains for longer than the rule, so that a stray shows
			r.mu.Lock()
			r.told[(i+2)%3] = time.Time{}
			r.mu.Unlock()
			if err := r.app.Apply(r.version(i)); err != nil {
				r.broken("a version is not taken: %v", err)
			}
			r.mu.Lock()
			r.told[i] = time.Now()
			r.mu.Unlock()
			if !wait(700 * time.Millisecond) {
				return
			}
		}
	})
	run.Go(func() {
		for i := 3; ; i = 3 + (i-2)%3 {
			r.boxes[i].Down()
			if !wait(100 * time.Millisecond) {
				return
			}
			if err := r.boxes[i].Up(); err != nil {
				r.broken("%s does not come back: %v", r.boxes[i].Name, err)
				return
			}
			r.boxes[i].SetFailing(true)
			if !wait(50 * time.Millisecond) {
				return
			}
			r.boxes[i].SetFailing(false)
			if !wait(150 * time.Millisecond) {
				return
			}
		}
	})
}

// load asks all requests.
func (r *rig) load(ctx context.Context, addr string) error {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	var proxies []*proxy.Proxy
	for i, mode := range []filterv3.ProcessingMode_BodySendMode{
		filterv3.ProcessingMode_BUFFERED, filterv3.ProcessingMode_FULL_DUPLEX_STREAMED,
		filterv3.ProcessingMode_BUFFERED_PARTIAL, filterv3.ProcessingMode_NONE,
	} {
		p := &proxy.Proxy{Conn: conn, BodyMode: mode, Retries: i % 2, OtherServer: r.wrong.Addr()}
		defer p.Close()
		proxies = append(proxies, p)
	}
	var next atomic.Int64
	var run sync.WaitGroup
	for worker := range r.Callers {
		rng := rand.New(rand.NewPCG(2, uint64(worker)))
		run.Go(func() {
			for ctx.Err() == nil {
				n := next.Add(1)
				if n > int64(r.Requests) {
					return
				}
				r.one(ctx, rng, proxies, n)
			}
		})
	}
	run.Wait()
	return ctx.Err()
}

// one asks a request, and some of them twice.
func (r *rig) one(ctx context.Context, rng *rand.Rand, proxies []*proxy.Proxy, n int64) {
	p := proxies[rng.IntN(len(proxies))]
	path := []string{"/", "/push/", "/pay/"}[rng.IntN(3)]
	kind := map[string]string{"/": "read", "/push/": "push", "/pay/": "pay"}[path]
	if rng.IntN(2) == 0 {
		path = "/pick" + path
	}
	id := fmt.Sprintf("%s-%d", kind, n)
	a := proxy.Request{Method: http.MethodPost, Path: path + "x", Timeout: patience, Header: http.Header{"X-Request-Id": {id}}}
	if p.BodyMode == filterv3.ProcessingMode_NONE {
		a.Method = http.MethodGet
	} else {
		a.Body = []byte(strings.Repeat("b", 1+rng.IntN(3000)))
	}
	if kind == "push" {
		a.Header.Set("Idempotency-Key", id)
	}
	if rng.IntN(10) == 0 { // hardly any time, by its own word: the caller waits longer, and sees what comes late
		a.Header.Set("X-Timeout-Ms", fmt.Sprint(11+rng.IntN(10)))
	}
	if rng.IntN(10) == 0 {
		a.Fault = []proxy.Fault{proxy.DisconnectBeforeDecision, proxy.DisconnectAfterDecision, proxy.NoResponseHeaders, proxy.OtherServer, proxy.HalfCloseStream}[rng.IntN(5)]
		if a.Fault == proxy.NoResponseHeaders {
			a.Timeout = 50 * time.Millisecond
		}
	}
	var both sync.WaitGroup
	if rng.IntN(5) == 0 { // twice: under the same id, or the same key with another id
		twin := a
		twin.Header, twin.Fault, twin.Timeout = a.Header.Clone(), proxy.None, patience
		if kind == "push" && rng.IntN(2) == 0 {
			twin.Header.Set("X-Request-Id", id+".2")
		}
		if kind != "read" || rng.IntN(2) == 0 {
			both.Go(func() { r.count(p.Do(ctx, twin), twin) })
		}
	}
	r.count(p.Do(ctx, a), a)
	both.Wait()
}

// count books a request's final answer.
func (r *rig) count(out proxy.Result, a proxy.Request) {
	// Whatever the status, which may be a server's own last word; who left may have been told too.
	if out.Header.Get("Retry-After") != "" || out.Status == 0 {
		r.mu.Lock()
		r.again[a.Header.Get("Idempotency-Key")] = true
		r.mu.Unlock()
	}
	switch {
	case out.Status == 0 && a.Fault == proxy.None:
		r.broken("%s %s: no final answer: %v", a.Header.Get("X-Request-Id"), a.Path, out.Err)
	case out.Status == 0, a.Fault != proxy.None && out.Err != nil:
		r.left.Add(1)
	case out.Status == http.StatusConflict:
		r.conflicts.Add(1)
	case out.Status == http.StatusServiceUnavailable:
		r.refused.Add(1)
	case out.Status == http.StatusOK:
		r.served.Add(1)
		if a.Fault != proxy.OtherServer && !strings.Contains(string(out.Body), " served "+strings.SplitN(a.Header.Get("X-Request-Id"), ".", 2)[0]) {
			r.broken("%s got another one's answer: %q", a.Header.Get("X-Request-Id"), out.Body)
		}
	default:
		r.failed.Add(1)
	}
}

// check holds what the servers saw against the rules.
func (r *rig) check(s *extproc.Server) {
	ran, first := map[string]int{}, map[string]time.Time{}
	for _, b := range r.boxes {
		seen, lost := b.Seen()
		if lost > 0 {
			r.broken("%s kept no record of %d", b.Name, lost)
		}
		for _, x := range seen {
			if b == r.wrong {
				continue // the caller's own doing
			}
			ran[x.ID]++
			if at, ok := first[x.Key]; x.Key != "" && (!ok || x.At.Before(at)) {
				first[x.Key] = x.At
			}
		}
	}
	for id, n := range ran {
		if strings.HasPrefix(id, "pay-") && n > 1 {
			r.broken("%s (unsafe) reached a server %d times", id, n)
		}
		if key := strings.TrimSuffix(id, ".2"); key != id && ran[key] > 0 && !r.again[key] {
			r.broken("%s reached a server beside its key's first request", id)
		}
	}
	n := s.InFlight()
	for end := time.Now().Add(patience); n != 0 && time.Now().Before(end); n = s.InFlight() {
		time.Sleep(10 * time.Millisecond) // a decision to try again waits for its caller for a while
	}
	if n != 0 {
		r.broken("%d streams, or requests, are open at the end", n)
	}
}
