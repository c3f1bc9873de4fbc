package badpeers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"runtime"
	"runtime/metrics"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"

	"yokestall/internal/fake/rawpeer"
	"yokestall/internal/fake/webpeer"
)

// pairs are sides that differ in all that can differ.
func pairs() [][2]webpeer.Protocol {
	w := webpeer.AllProtocols()
	return [][2]webpeer.Protocol{{w[0], w[0]}, {w[3], w[3]}, {w[2], w[1]}, {w[1], w[2]}}
}

// tally counts what came of requests.
type tally struct{ answered, whole, cut, refused atomic.Int64 }

// mixed sends requests of all sizes while a tenth of the answers break and one of the places
// drains and comes back all the time: one answer each, whole or visibly cut, and no unsafe
// request executed twice.
func (r *rig) mixed(ctx context.Context) (string, error) {
	var t tally
	var mu sync.Mutex // guards found
	report := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		r.broken(format, args...)
	}
	const workers = 8
	each := r.Requests / len(pairs()) / workers
	var all sync.WaitGroup
	for lane, pair := range pairs() {
		b, err := r.between(pair[0], pair[1])
		if err != nil {
			return "", err
		}
		all.Go(func() {
			defer b.end()
			news, stop := context.WithCancel(ctx)
			var told, run sync.WaitGroup
			told.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-news.Done():
						return
					case <-time.After(20 * time.Millisecond): // a pace
					}
					if err := b.app.Apply(b.version(i%3 - 1)); err != nil {
						report("a version is not taken: %v", err)
					}
				}
			})
			for worker := range workers {
				rng := rand.New(rand.NewPCG(uint64(lane), uint64(worker)))
				run.Go(func() {
					for range each {
						if err := b.one(ctx, rng, r.Largest, &t); err != nil {
							report("%s: %v", kinds(pair[0], pair[1]), err)
						}
					}
				})
			}
			run.Wait()
			stop()
			told.Wait()
			for id, n := range b.peer.Executed("/pay/") {
				if n > 1 {
					report("%s was executed %d times", id, n)
				}
			}
		})
	}
	all.Wait()
	if n := int64(each * len(pairs()) * workers); t.answered.Load() != n {
		report("%d requests, %d answers", n, t.answered.Load())
	}
	return fmt.Sprintf("%d answers: %d whole, %d visibly cut or failed, %d refused",
		t.answered.Load(), t.whole.Load(), t.cut.Load(), t.refused.Load()), nil
}

// one sends a request that is drawn and looks at what comes back.
func (b *between) one(ctx context.Context, rng *rand.Rand, largest int, t *tally) error {
	n := min(largest, 1<<rng.IntN(17))
	if rng.IntN(200) == 0 {
		n = min(largest, 1<<(20+rng.IntN(7)))
	}
	path, do := "/x", fmt.Sprintf("%s %d", []string{"known", "unknown", "trailer"}[rng.IntN(3)], n)
	if rng.IntN(2) == 0 {
		path = "/pay/x"
	}
	fault := rng.IntN(10) == 0
	if fault {
		do = []string{"break", "break 10", "break 200000", "status 500"}[rng.IntN(4)]
	}
	body := webpeer.Pattern(rng.IntN(1 << rng.IntN(18)))
	var on httptrace.GotConnInfo
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { on = i }})
	resp, err := b.transport.RoundTrip(b.request(ctx, path, do, io.NopCloser(bytes.NewReader(body))))
	t.answered.Add(1)
	if err != nil {
		if !fault {
			return fmt.Errorf("%s %s, body of %d, on a connection reused %v, idle %v for %v: %w", path, do, len(body), on.Reused, on.WasIdle, on.IdleTime, err)
		}
		t.cut.Add(1)
		return nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	switch {
	case err == nil && resp.StatusCode == http.StatusOK && !fault && bytes.Equal(text, webpeer.Pattern(n)):
		t.whole.Add(1)
	case err == nil && resp.StatusCode == http.StatusOK:
		return fmt.Errorf("%s %s: %d bytes pass for the whole", path, do, len(text))
	case err == nil && resp.StatusCode == http.StatusServiceUnavailable:
		t.refused.Add(1)
	case fault || err == nil && resp.StatusCode == http.StatusBadGateway:
		t.cut.Add(1)
	default:
		return fmt.Errorf("%s %s: status %d, %v", path, do, resp.StatusCode, err)
	}
	return nil
}

// memory is what the process held at the latest collection of garbage, stacks included.
func memory() int64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64() + sample[1].Value.Uint64())
}

// idleMost is how many bytes an idle connection may cost, its client's end included.
const idleMost = 200 << 10

// idle opens connections over HTTP/2 that say nothing after their start. A client that comes
// after them has to be served.
func (r *rig) idle(ctx context.Context) (string, error) {
	b, err := r.between(webpeer.Protocol{HTTP2: true}, webpeer.Protocol{})
	if err != nil {
		return "", err
	}
	defer b.end()
	runtime.GC()
	runtime.GC() // what earlier scenarios had in pools
	before := memory()
	crowd := r.Crowd
	if crowd == nil {
		crowd = Crowd
	}
	leave, err := crowd(b.addr, r.Connections)
	if err != nil {
		return "", err
	}
	defer leave()
	runtime.GC()
	each := (memory() - before) / int64(r.Connections)
	if each > idleMost {
		r.broken("%d bytes an idle connection, %d at most", each, idleMost)
	}
	resp, err := b.transport.RoundTrip(b.request(ctx, "/x", "", nil))
	if err != nil || resp.StatusCode != http.StatusOK {
		r.broken("a client that comes after them: %v, %v", resp, err)
	} else {
		resp.Body.Close()
	}
	return fmt.Sprintf("%d of them, %d bytes each, %d descriptors", r.Connections, each, descriptors()), nil
}

// Crowd opens connections over HTTP/2 that say nothing after their start, until leave.
func Crowd(addr string, n int) (leave func() error, err error) {
	var all []io.Closer
	leave = func() error {
		for _, c := range all {
			c.Close()
		}
		return nil
	}
	for range n {
		nc, f, err := rawpeer.OpenHTTP2(addr)
		if err == nil {
			all = append(all, nc)
			_, err = f.ReadFrame() // the server's settings
		}
		if err != nil {
			leave()
			return nil, err
		}
	}
	return leave, nil
}

// throughMost is how many bytes the process may hold at most while any number goes through,
// clients, servers and all.
const throughMost = 20 << 20

// through sends bytes both ways at once through every pair of sides alike, beside clients that
// take a byte now and then, and clients and servers that both send one now and then.
func (r *rig) through(ctx context.Context) (string, error) {
	const part = 256 << 20
	highest := int64(0)
	runtime.GC() // the figure is of the latest collection: not of what earlier scenarios held
	runtime.GC()
	for _, w := range webpeer.AllProtocols() {
		b, err := r.between(w, w)
		if err != nil {
			return "", err
		}
		slow, leave := context.WithCancel(ctx)
		var run sync.WaitGroup
		for range 4 {
			resp, err := b.transport.RoundTrip(b.request(slow, "/x", "unknown 500000", nil))
			if err != nil {
				leave()
				return "", err
			}
			run.Go(func() {
				defer resp.Body.Close()
				for one := make([]byte, 1); slow.Err() == nil; time.Sleep(10 * time.Millisecond) { // a pace
					if _, err := resp.Body.Read(one); err != nil {
						return
					}
				}
			})
		}
		for range 4 { // slow both ways: the server echoes each byte as it comes
			run.Go(func() {
				resp, err := b.transport.RoundTrip(b.request(slow, "/x", "echo", io.NopCloser(drip{slow})))
				if err != nil {
					return // it left before the server's first byte
				}
				defer resp.Body.Close()
				io.Copy(io.Discard, resp.Body)
			})
		}
		for left := r.Megabytes << 20; left > 0; left -= part {
			n := min(left, part)
			resp, err := b.transport.RoundTrip(b.request(ctx, "/x", "echo", io.NopCloser(io.LimitReader(zeros{}, n))))
			if err != nil {
				r.broken("%v: %v", w, err)
				break
			}
			got := int64(0)
			for buffer := make([]byte, 64<<10); err == nil; {
				var m int
				m, err = resp.Body.Read(buffer)
				if got>>24 != (got+int64(m))>>24 {
					highest = max(highest, memory())
				}
				got += int64(m)
			}
			resp.Body.Close()
			if err != io.EOF || got != n {
				r.broken("%v: %d of %d bytes came back: %v", w, got, n, err)
			}
		}
		leave()
		run.Wait()
		b.end()
	}
	if highest > throughMost {
		r.broken("%d bytes held, %d at most", highest, throughMost)
	}
	return fmt.Sprintf("%d MB each way over each of %d sides, at most %d MB held, clients and servers included",
		r.Megabytes, len(webpeer.AllProtocols()), highest>>20), nil
}

// drip is a body that comes byte by byte until its context ends.
type drip struct{ ctx context.Context }

func (d drip) Read(p []byte) (int, error) {
	select {
	case <-d.ctx.Done():
		return 0, io.EOF
	case <-time.After(10 * time.Millisecond): // a pace
		p[0] = 'x'
		return 1, nil
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// resets opens streams and resets them at once, as fast as it can, over a few connections that
// come again when they are closed (CVE-2023-44487), while usual clients ask.
func (r *rig) resets(ctx context.Context) (string, error) {
	b, err := r.between(webpeer.Protocol{HTTP2: true}, webpeer.Protocol{})
	if err != nil {
		return "", err
	}
	defer b.end()
	head := rawpeer.Fields(":method", "GET", ":scheme", "http", ":authority", "a", ":path", "/x")
	var done, closed atomic.Int64
	var attack sync.WaitGroup
	for range 4 {
		attack.Go(func() {
			for done.Load() < int64(r.Resets) && ctx.Err() == nil {
				nc, f, err := rawpeer.OpenHTTP2(b.addr)
				if err != nil {
					return
				}
				var drained sync.WaitGroup
				drained.Go(func() { io.Copy(io.Discard, nc) })
				for id := uint32(1); done.Load() < int64(r.Resets); id += 2 {
					if open(f, id, head) != nil { // told to go
						break
					}
					if done.Add(1)%64 == 0 {
						runtime.Gosched() // on one core the others want a turn
					}
				}
				closed.Add(1)
				nc.Close()
				drained.Wait()
			}
		})
	}
	ended := make(chan struct{})
	go func() { attack.Wait(); close(ended) }()
	var times []time.Duration
	served, goroutines := 0, 0
	for over := false; !over; {
		select {
		case <-ended:
			over = true // with one more request, which has nothing beside it
		default:
		}
		at := time.Now()
		resp, err := b.transport.RoundTrip(b.request(ctx, "/x", "", nil))
		if err != nil {
			r.broken("a usual client: %v", err)
			break
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			served++
		}
		times, goroutines = append(times, time.Since(at)), max(goroutines, runtime.NumGoroutine())
	}
	attack.Wait()
	slices.Sort(times)
	if served == 0 {
		r.broken("no usual request was served")
	}
	if most := 4*(3*100+20) + 200; goroutines > most { // a stream has its handler, its attempt and little more
		r.broken("%d goroutines, %d at most", goroutines, most)
	}
	return fmt.Sprintf("%d resets over %d connections; %d of %d usual requests served, p99 %v; %d goroutines",
		done.Load(), closed.Load(), served, len(times), times[len(times)*99/100].Round(time.Microsecond), goroutines), nil
}

// open opens a stream and resets it.
func open(f *http2.Framer, id uint32, head []byte) error {
	if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: head, EndHeaders: true, EndStream: true}); err != nil {
		return err
	}
	return f.WriteRSTStream(id, http2.ErrCodeCancel)
}
