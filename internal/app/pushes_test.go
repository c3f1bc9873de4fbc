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

var pushCount = flag.Int("pushes", 2048, "pushes of TestPushesRunOnce")

// push sends a keyed request, for as long as its client waits.
func (s *serving) push(key, body string, patience time.Duration) (status int, header http.Header, text string) {
	ctx, leave := context.WithTimeout(context.Background(), patience)
	defer leave()
	return s.pushWithContext(ctx, key, body)
}

func (s *serving) pushWithContext(ctx context.Context, key, body string) (status int, header http.Header, text string) {
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

// Pushes whose clients send them again, whatever became of the former try, to app boxes that drop
// no repeats themselves: each runs once at most. With the store off many run more often, so the
// check is known to bite. Over the program's own sockets, both ways.
func TestPushesRunOnce(t *testing.T) {
	const workers = 16 // so few that two cores carry them: what is refused by load proves nothing
	n := *pushCount
	twice := func(entries string) (twice, ran int) {
		var mu sync.Mutex
		runs := map[string]int{}
		rng := rand.New(rand.NewPCG(5, 6))
		draw := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return rng.IntN(n)
		}
		act := func(w http.ResponseWriter, r *http.Request) {
			key := r.Header.Get("Idempotency-Key")
			io.Copy(io.Discard, r.Body)
			how := draw(24) // few enough failures for breakers to stay closed, mostly
			if how == 0 {   // turned away
				w.Header().Set("X-Not-Processed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mu.Lock()
			runs[key]++
			mu.Unlock()
			switch how {
			case 1:
				http.Error(w, "after the work", http.StatusInternalServerError)
			case 2: // the answer is lost
				if nc, _, err := w.(http.Hijacker).Hijack(); err == nil {
					nc.Close()
				}
			case 3, 4, 5, 6, 7:
				time.Sleep(time.Duration(draw(40)) * time.Millisecond)
				fallthrough
			default:
				io.WriteString(w, key)
			}
		}
		var list []cluster.Endpoint
		for i := range 4 {
			box := httptest.NewServer(http.HandlerFunc(act))
			t.Cleanup(func() { box.CloseClientConnections(); box.Close() })
			list = append(list, cluster.Endpoint{ID: "s" + strconv.Itoa(i), Address: box.Listener.Addr().String()})
		}
		s := serve(t, snapshot(parse(t, strings.Replace(pushProgram, "ENTRIES", entries, 1)), rooms(list...)))
		var all sync.WaitGroup
		for worker := range workers {
			all.Go(func() {
				for i := range n / workers {
					key := strconv.Itoa(worker) + "-" + strconv.Itoa(i)
					for range 4 {
						if draw(4) == 0 { // beside the one that may still run
							all.Go(func() { s.push(key, "x", time.Second) })
						}
						status, _, text := s.push(key, "x", time.Duration(5+draw(100))*time.Millisecond)
						if status == http.StatusOK && text != key {
							t.Errorf("%s got the answer %q", key, text)
						}
						if status == http.StatusOK {
							break
						}
					}
				}
			})
		}
		all.Wait()
		mu.Lock()
		defer mu.Unlock()
		for _, times := range runs {
			if times > 1 {
				twice++
			}
		}
		return twice, len(runs)
	}
	more, ran := twice("2000000")
	t.Logf("%d of %d pushes ran, %d more than once", ran, n, more)
	if more > 0 || ran < n/4 {
		t.Errorf("%d of %d pushes ran more than once", more, ran)
	}
	n = min(n, 2048)
	if more, _ := twice("0"); more < n/10 {
		t.Errorf("without the store %d pushes ran more than once: the check proves little", more)
	}
}
