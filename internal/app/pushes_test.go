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

// pushProgram is a program with one class of pushes; ENTRIES is the size of the store of their keys.
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

// push sends a request with an idempotency key, whose client disconnects after its patience. Without an answer the
// status is 0.
func (s *serving) push(key, body string, patience time.Duration) (status int, header http.Header, text string) {
	ctx, disconnect := context.WithTimeout(context.Background(), patience)
	defer disconnect()
	return s.pushWithContext(ctx, key, body)
}

// pushWithContext is push by a client that disconnects when ctx ends.
func (s *serving) pushWithContext(
	ctx context.Context, key, body string,
) (status int, header http.Header, text string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/push", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "rooms.example" // the address is another one after a restart
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
	pushWorkers       = 16 // so few that two cores carry them: what is rejected for load proves nothing
	pushAttempts      = 4  // of a client, for each push
	pushServers       = 4
	unprotectedPushes = 2048 // at most, with the store off
)

// Pushes whose clients send them again, whatever became of the previous attempt, to servers that detect no repeats
// themselves: each runs at most once. With the store off many run more often, which shows that the check finds them.
// Over the program's own sockets, both ways.
func TestPushesRunOnce(t *testing.T) {
	n := *pushCount
	ran, repeated := runPushes(t, "2000000", n)
	t.Logf("%d of %d pushes ran, %d more than once", ran, n, repeated)
	if repeated > 0 || ran < n/4 {
		t.Errorf("%d of %d pushes ran more than once", repeated, ran)
	}
	n = min(n, unprotectedPushes)
	if _, repeated := runPushes(t, "0", n); repeated < n/10 {
		t.Errorf("without the store %d pushes ran more than once: the check proves little", repeated)
	}
}

// runPushes sends n pushes through a program whose store takes so many entries. It returns how many ran, and how many
// of those more than once.
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
	p.serving = serve(t, snapshot(parse(t, text), rooms(endpoints...)))
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
	for _, times := range p.runs {
		if times > 1 {
			repeated++
		}
	}
	return len(p.runs), repeated
}

// pushRun is a program with servers that fail in many ways, and clients that send their pushes again.
type pushRun struct {
	*serving
	t       *testing.T
	clients sync.WaitGroup

	mu     sync.Mutex
	runs   map[string]int // by key
	random *rand.Rand
}

// draw returns a random number below n.
func (p *pushRun) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}

// runPush is a server's handler: it rejects a push, or runs it and then answers, fails or closes the connection.
func (p *pushRun) runPush(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	io.Copy(io.Discard, r.Body)
	outcome := p.draw(24) // few enough failures for circuit breakers to stay closed, mostly
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
	case 2: // the answer is lost
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

// sendPush sends a push until it is answered, at most pushAttempts times, and now and then twice at once.
func (p *pushRun) sendPush(key string) {
	for range pushAttempts {
		if p.draw(4) == 0 { // beside the one that may still run
			p.clients.Go(func() { p.push(key, "x", time.Second) })
		}
		status, _, text := p.push(key, "x", time.Duration(5+p.draw(100))*time.Millisecond)
		if status == http.StatusOK && text != key {
			p.t.Errorf("%s got the answer %q", key, text)
		}
		if status == http.StatusOK {
			return
		}
	}
}
