// Package demo shows the main job in one go: the product program on files that the demo
// writes, stand-in app boxes on loopback, and clients. One box goes slow, one drains, one
// dies and comes back; every final answer is counted against what the boxes saw.
package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/app"
	"yokestall/internal/cluster"
	"yokestall/internal/downstream/extproc"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/controlplane"
)

// drainRule is how long after word of a drain nothing new may reach a server.
const drainRule = 500 * time.Millisecond

// Options are what a demo can be told.
type Options struct {
	Out     io.Writer
	Log     *slog.Logger
	Boxes   int           // 3 or more
	Clients int           // at once, 1 or more
	Phase   time.Duration // length of each of the five phases
	// Slack is how late a client of the demo may measure an answer that came in time: the
	// clients share the machine with all else. 0: 50 ms.
	Slack time.Duration
	// Keep has the program serve on until the context ends, with no more load.
	Keep bool
	// XDS has clusters, endpoints and routes come from a stand-in control plane, as the
	// example set in xDS form has them, in place of the program's files.
	XDS bool
	// TLS has the clients speak HTTP/2 over TLS, with keys that the demo makes itself and
	// replaces while it runs.
	TLS bool
	// ExtProc has the clients ask a stand-in proxy, which asks the program what to do with each
	// request: bookings and payments are carried, reads are sent by the proxy.
	ExtProc bool
}

// Result counts a demo's final answers and what the boxes saw.
type Result struct {
	Asked, Served, Refused, Failed, Late int64
	Reached                              int // requests that reached a box, copies included
	Copies                               int // of those, second and later ones of the same request
	Broken                               []string
}

const program = `# Written by the demo; serve takes it as it is.
[listen]
address = "127.0.0.1:0"
connections = 256

[files]
clusters = "clusters"
poll = "200ms"

[limits]
attempts = 3
second_copies = true
cancel = true
max_retry_after = "600ms"

[[class]]
name = "avail-read"
effect = "safe"
deadline = "1400ms"
aim = "580ms"
worth = 2

[[class]]
name = "booking-push"
effect = "keyed"
scope = "all"
window = "6s"
deadline = "1900ms"
aim = "750ms"
worth = 8

[[class]]
name = "payment"
effect = "unsafe"
deadline = "1900ms"
aim = "750ms"
worth = 8

[[host]]
domains = ["*"]

[[host.route]]
name = "bookings"
template = "/hotels/{hotel}/bookings"
methods = ["POST"]
class = "booking-push"
cluster = "rooms"

[[host.route]]
name = "payments"
prefix = "/payments/"
class = "payment"
cluster = "rooms"

[[host.route]]
name = "the rest"
prefix = "/"
class = "avail-read"
cluster = "rooms"
`

// show is a demo while it runs.
type show struct {
	Options
	closers []func() // called in reverse order at the end

	folder string
	boxes  []*appbox.Box
	app    *app.App
	url    string

	processor *extproc.Server // nil: clients ask the program itself

	versions chan struct{} // one for each version taken
	plane    *controlplane.Server
	keys     *rotation            // nil: clear text
	drained  map[string]time.Time // box name to when the program had been told

	mu     sync.Mutex
	strays map[string]int // sends after the drain rule, by box
	result Result
	asked  [5]atomic.Int64 // in all, served, refused, failed, late
}

func (s *show) config() string { return filepath.Join(s.folder, "yokestall.toml") }

// write puts a version of the cluster file in place, whole.
func (s *show) write(health map[string]string) error {
	for len(s.versions) > 0 { // what is taken from now on may be this one
		<-s.versions
	}
	if s.plane != nil {
		return s.push(health)
	}
	var b bytes.Buffer
	b.WriteString("[cluster]\nname = \"rooms\"\n\n")
	for _, box := range s.boxes {
		fmt.Fprintf(&b, "[[endpoint]]\nid = %q\naddress = %q\nweight = 1\n", box.Name, box.Addr())
		if h := health[box.Name]; h != "" {
			fmt.Fprintf(&b, "health = %q\n", h)
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", len(s.boxes))
	name := filepath.Join(s.folder, "clusters", "rooms.toml")
	if err := os.WriteFile(name+".new", b.Bytes(), 0o644); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// play runs the phases under load and draws the table.
func (s *show) play(ctx context.Context) error {
	load, end := context.WithCancel(ctx)
	defer end()
	var clients sync.WaitGroup
	transport := &http.Transport{MaxIdleConnsPerHost: s.Clients}
	if s.keys != nil {
		transport.TLSClientConfig, transport.ForceAttemptHTTP2 = s.keys.client(), true
	}
	defer transport.CloseIdleConnections()
	for i := range s.Clients {
		clients.Go(func() { s.client(load, i, transport) })
	}
	slow, drain, die := s.boxes[0], s.boxes[1], s.boxes[2]
	err := func() error {
		for _, phase := range []struct {
			what  string
			begin func() error
		}{
			{"all is well", func() error { return nil }},
			{slow.Name + " answers in 400 ms", func() error { slow.SetDelay(400 * time.Millisecond); return nil }},
			{drain.Name + " drains, by its line in the file", func() error {
				slow.SetDelay(5 * time.Millisecond)
				if err := s.write(map[string]string{drain.Name: "draining"}); err != nil {
					return err
				}
				return s.taken(ctx, drain.Name)
			}},
			{die.Name + " dies", func() error { die.Down(); return nil }},
			{die.Name + " is back", func() error { return die.Up() }},
		} {
			if err := phase.begin(); err != nil {
				return err
			}
			fmt.Fprintf(s.Out, "%-42s %s\n", phase.what, s.header())
			for range 2 {
				before := s.counts()
				select {
				case <-time.After(s.Phase / 2):
				case <-ctx.Done():
					return ctx.Err()
				}
				fmt.Fprintf(s.Out, "%-42s %s\n", "", s.row(before))
			}
		}
		return nil
	}()
	end()
	clients.Wait()
	return err
}

// taken waits until the program has taken the version that the demo wrote.
func (s *show) taken(ctx context.Context, drained string) error {
	select {
	case <-s.versions:
		s.mu.Lock()
		s.drained[drained] = time.Now()
		s.mu.Unlock()
		return nil
	case <-time.After(10 * time.Second):
		return fmt.Errorf("the program took no new version of its files in 10 s")
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *show) header() string {
	var b strings.Builder
	for _, box := range s.boxes {
		fmt.Fprintf(&b, "%8s", box.Name)
	}
	return b.String() + "   served refused failed"
}

func (s *show) counts() (c []int64) {
	for _, b := range s.boxes {
		c = append(c, int64(b.Count()))
	}
	for i := 1; i < 4; i++ {
		c = append(c, s.asked[i].Load())
	}
	return c
}

func (s *show) row(before []int64) string {
	var b strings.Builder
	for i, n := range s.counts() {
		width := 8
		if i >= len(s.boxes) {
			width = 7
		}
		if i == len(s.boxes) {
			b.WriteString("  ")
		}
		fmt.Fprintf(&b, "%*d", width, n-before[i])
	}
	return b.String()
}

// client asks one request after another, each with an id of its own.
func (s *show) client(ctx context.Context, number int, transport http.RoundTripper) {
	const patience = 1500 * time.Millisecond
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("demo-%d-%d", number, n)
		method, path, body := http.MethodGet, "/hotels/7/rooms", ""
		switch n % 4 {
		case 1:
			method, path, body = http.MethodPost, "/hotels/7/bookings", "{}"
		case 3:
			method, path, body = http.MethodPost, "/payments/7", "{}"
		}
		r, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
		if err != nil {
			return
		}
		r.Header.Set("X-Request-ID", id)
		r.Header.Set("X-Timeout-Ms", fmt.Sprint(patience.Milliseconds()))
		if n%4 == 1 {
			r.Header.Set("Idempotency-Key", id)
		}
		s.asked[0].Add(1)
		began := time.Now()
		resp, err := transport.RoundTrip(r)
		kind := 3
		if err == nil {
			if s.keys != nil && resp.ProtoMajor == 2 {
				s.keys.http2.Add(1)
			}
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			switch {
			case err != nil:
			case resp.StatusCode == http.StatusOK:
				kind = 1
			case resp.StatusCode == http.StatusServiceUnavailable:
				kind = 2
			}
		}
		s.asked[kind].Add(1)
		if time.Since(began) > patience+s.Slack {
			s.asked[4].Add(1)
		}
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// sent notes a send that breaks the rule on drains. What counts is when it left: on a
// busy machine a box may see it later.
func (s *show) sent(_ string, server uint64, at time.Time) {
	for _, b := range s.boxes {
		e := s.endpoint(b)
		if e.Key() != server {
			continue
		}
		s.mu.Lock()
		if told, ok := s.drained[b.Name]; ok && at.After(told.Add(drainRule)) {
			s.strays[b.Name]++
		}
		s.mu.Unlock()
	}
}

func (s *show) endpoint(b *appbox.Box) cluster.Endpoint {
	return cluster.Endpoint{ID: b.Name, Address: b.Addr()}
}

// check holds the answers against what the boxes saw.
func (s *show) check() {
	r := &s.result
	r.Asked, r.Served, r.Refused, r.Failed, r.Late =
		s.asked[0].Load(), s.asked[1].Load(), s.asked[2].Load(), s.asked[3].Load(), s.asked[4].Load()
	broken := func(format string, args ...any) { r.Broken = append(r.Broken, fmt.Sprintf(format, args...)) }
	if r.Served+r.Refused+r.Failed != r.Asked {
		broken("%d requests, %d final answers", r.Asked, r.Served+r.Refused+r.Failed)
	}
	if r.Late > 0 {
		broken("%d answers came after the client's time was up", r.Late)
	}
	ran := map[string]int{}
	for _, b := range s.boxes {
		seen, lost := b.Seen()
		if lost > 0 {
			broken("%s kept no record of %d requests", b.Name, lost)
		}
		for _, x := range seen {
			ran[x.ID]++
		}
		if n := s.strays[b.Name]; n > 0 {
			broken("%s was sent %d requests over 500 ms after its drain was told", b.Name, n)
		}
		r.Reached += len(seen)
	}
	twice := 0
	for id, n := range ran {
		r.Copies += n - 1
		var client, number int
		if _, err := fmt.Sscanf(id, "demo-%d-%d", &client, &number); err == nil && number%4 == 3 && n > 1 {
			twice++
		}
	}
	if twice > 0 {
		broken("%d payments (unsafe) reached a box twice", twice)
	}
	if int64(len(ran)) < r.Served {
		broken("%d served, but only %d requests reached a box", r.Served, len(ran))
	}
}

func (s *show) summary() {
	r := &s.result
	fmt.Fprintf(s.Out, "\n%d requests: %d served, %d refused (safe to try again), %d failed; %d late.\n",
		r.Asked, r.Served, r.Refused, r.Failed, r.Late)
	fmt.Fprintf(s.Out, "%d reached a box, %d of them copies that their class allows.\n", r.Reached, r.Copies)
	if len(r.Broken) == 0 {
		fmt.Fprintln(s.Out, "Rules kept: one answer each, in time; no payment twice; nothing to the drained box after 500 ms.")
	}
	for _, b := range r.Broken {
		fmt.Fprintln(s.Out, "RULE BROKEN:", b)
	}
}
