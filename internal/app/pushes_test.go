package app

import (
	"context"
	"flag"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"yokestall/internal/cluster"
)

// pushProgram is a program's file with one class, which is idempotent by key. ENTRIES stands for the maximum number of
// keys that the program stores; 0 disables deduplication.
const pushProgram = `[listen]

address = "127.0.0.1:0"
[files]
clusters = "clusters"
[repeats]
entries = ENTRIES
mb = 1024
[limits]
attempts = 1
[[class]]
name = "push"
effect = "keyed"
scope = "all"
window = "1m"
deadline = "2s"
[[host]]
[[host.route]]
prefix = "/"
class = "push"
cluster = "rooms"
`

// pushCount is the number of pushes of TestPushesRunOnce.
var pushCount = flag.Int("pushes", 2048, "pushes of TestPushesRunOnce")

// push sends a request with an idempotency key. The client disconnects after the timeout. The status is 0 if there is no
// answer.
func (s *testApp) push(key, body string, timeout time.Duration) (status int, header http.Header, text string) {
	ctx, disconnect := context.WithTimeout(context.Background(), timeout)
	defer disconnect()
	return s.pushWithContext(ctx, key, body)
}

// pushWithContext is like push, but the client disconnects when ctx ends.
func (s *testApp) pushWithContext(
	ctx context.Context, key, body string,
) (status int, header http.Header, text string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/push", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "rooms.example" // fixed, since the address of the App changes with a restart
	r.Header.Set("Idempotency-Key", key)
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, nil, ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(b)
}

// Limits of TestPushesRunOnce.
const (
	pushWorkers       = 16 // few enough for two cores, since pushes that are rejected for overload test nothing
	pushAttempts      = 4  // maximum number of times that a client sends a push
	pushServers       = 4
	unprotectedPushes = 2048 // maximum number of pushes in the run without deduplication
)

// Clients send their pushes again until they get an answer, whatever the outcome before, to servers that don't detect
// repeats themselves. With deduplication each push must run at most once. Without it, many pushes run more than once,
// which shows that the test detects such runs. The clients and the servers use real sockets.
func TestPushesRunOnce(t *testing.T) {
	n := *pushCount
	ran, repeated := runPushes(t, "2000000", n)
	t.Logf("%d of %d pushes ran, %d more than once", ran, n, repeated)
	if repeated > 0 || ran < n/4 {
		t.Errorf("%d of %d pushes that ran did so more than once; want none, and at least %d that ran", repeated, ran, n/4)
	}
	n = min(n, unprotectedPushes)
	if _, repeated := runPushes(t, "0", n); repeated < n/10 {
		t.Errorf("without deduplication %d pushes ran more than once, want at least %d: the test detects too few repeats",
			repeated, n/10)
	}
}

// runPushes sends n pushes through an App that stores at most the given number of idempotency keys. It returns the number
// of pushes that ran, and how many of them ran more than once.
func runPushes(t *testing.T, entries string, n int) (ran, repeated int) {
	t.Helper()
	p := &pushRun{t: t, runs: map[string]int{}, random: rand.New(rand.NewPCG(5, 6))}
	var endpoints []cluster.Endpoint
	for i := range pushServers {
		server := httptest.NewServer(http.HandlerFunc(p.runPush))
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		endpoints = append(endpoints, cluster.Endpoint{
			ID: "s" + strconv.Itoa(i), Address: server.Listener.Addr().String(),
		})
	}
	text := strings.Replace(pushProgram, "ENTRIES", entries, 1)
	p.testApp = serve(t, newConfiguration(parse(t, text), roomsCluster(endpoints...)))
	for worker := range pushWorkers {
		p.clients.Go(func() {
			for i := range n / pushWorkers {
				p.sendPush(strconv.Itoa(worker) + "-" + strconv.Itoa(i))
			}
		})
	}
	p.clients.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, runs := range p.runs {
		if runs > 1 {
			repeated++
		}
	}
	return len(p.runs), repeated
}

// pushRun is an App with servers that fail in several ways and clients that send their pushes repeatedly.
type pushRun struct {
	*testApp
	t       *testing.T
	clients sync.WaitGroup

	mu     sync.Mutex
	runs   map[string]int // number of runs by idempotency key
	random *rand.Rand
}

// draw returns a random number below n.
func (p *pushRun) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}

// runPush is the handler of the servers. It rejects a push, or runs it and then answers, fails or closes the connection.
func (p *pushRun) runPush(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	io.Copy(io.Discard, r.Body)
	outcome := p.draw(24) // failures are rare enough for circuit breakers to stay closed most of the time
	if outcome == 0 {     // rejected
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.mu.Lock()
	p.runs[key]++
	p.mu.Unlock()
	switch outcome {
	case 1:
		http.Error(w, "after the work", http.StatusInternalServerError)
	case 2: // the push runs and its answer is lost
		if nc, _, err := w.(http.Hijacker).Hijack(); err == nil {
			nc.Close()
		}
	case 3, 4, 5, 6, 7:
		time.Sleep(time.Duration(p.draw(40)) * time.Millisecond)
		fallthrough
	default:
		io.WriteString(w, key)
	}
}

// sendPush sends a push until it is answered, but at most pushAttempts times. Now and then it sends the push twice at the
// same time.
func (p *pushRun) sendPush(key string) {
	for range pushAttempts {
		if p.draw(4) == 0 { // a second copy, concurrent with the first
			p.clients.Go(func() { p.push(key, "x", time.Second) })
		}
		status, _, text := p.push(key, "x", time.Duration(5+p.draw(100))*time.Millisecond)
		if status == http.StatusOK && text != key {
			p.t.Errorf("push %s got the answer %q, want its key", key, text)
		}
		if status == http.StatusOK {
			return
		}
	}
}
