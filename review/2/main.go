// Command 2 is the driver of case 2: servers that are full turn requests away while two of them hang. It checks that an
// unsafe request, or a keyed one whose group is a zone, is refused only if it surely has not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"yokestall/review/rig"
)

// The figures of the small deployment: ferry-cz.toml, and the pages that claim.txt quotes.
const (
	servers  = 12
	hanging  = 2                       // of 12, 17%: up to 19% take requests and answer none
	hang     = 5500 * time.Millisecond // 5.2 to 24 s
	between  = 2500 * time.Millisecond
	hangs    = 9
	rate     = 130                   // requests a second to this node
	others   = 55                    // requests a second to each server from the other nodes
	queue    = 9                     // requests that wait at a server beside the one in work
	work     = 18 * time.Millisecond // 19 ms and more (work_ms) at speeds of up to 2.1
	deadline = 750 * time.Millisecond
	window   = 750 * time.Millisecond // the servers of a zone drop a repeat of a key
)

const program = `
[listen]
address = "%s"
[upstream]
idle = "5s"
connect_timeout = "120ms"
[files]
clusters = "clusters"
[limits]
attempts = 6
cancel = true
max_retry_after = "400ms"
[fleet]
nodes = 1
zone = "praha"
cold_from = 0.13
cold_for = "23s"
fall_multiple = 4
fall_for = "2s"
[[class]]
name = "space-check"
effect = "safe"
deadline = "750ms"
aim = "300ms"
worth = 1
[[class]]
name = "cargo-update"
effect = "keyed"
scope = "zone"
window = "750ms"
deadline = "750ms"
aim = "300ms"
worth = 2
[[class]]
name = "slot-confirm"
effect = "unsafe"
deadline = "750ms"
aim = "250ms"
worth = 2
[[host]]
name = "ferry"
[[host.route]]
name = "checks"
prefix = "/space-check"
class = "space-check"
cluster = "booking-web"
[[host.route]]
name = "updates"
prefix = "/cargo-update"
class = "cargo-update"
cluster = "booking-web"
[[host.route]]
name = "confirms"
prefix = "/slot-confirm"
class = "slot-confirm"
cluster = "booking-web"
`

// server is a stand-in for an app server: one request in work, a short queue, and no memory of repeats in another zone.
type server struct {
	*theCase
	name, zone string
	jobs       chan job

	mu     sync.Mutex
	resume chan struct{} // not nil while the server hangs; closed when it goes on
}

// job is a request at a server. A job of another node has no id.
type job struct {
	id, key, booking string
	done             chan struct{}
}

// theCase is the state of the run.
type theCase struct {
	*rig.Run
	ranByID, ranByBooking rig.Ran

	mu      sync.Mutex
	refused []refusal
	keys    map[string]time.Time // when a key was last run in a zone
}

// refusal is a request that was refused although a server had taken it.
type refusal struct{ id, booking, class string }

func main() {
	c := &theCase{Run: rig.Start(), keys: map[string]time.Time{}}
	var cluster strings.Builder
	cluster.WriteString("[cluster]\nname = \"booking-web\"\n")
	var all []*server
	for i := range servers {
		zone := []string{"praha", "brno"}[i%2]
		s := &server{theCase: c, name: fmt.Sprintf("app-%d", i+1), zone: zone, jobs: make(chan job, queue)}
		go s.work()
		go s.otherNodes()
		address := c.StartServer(s.name, "127.0.0.1:0", s.handle).Address
		fmt.Fprintf(&cluster, "[[endpoint]]\nid = %q\naddress = %q\nzone = %q\ncell = %d\n", s.name, address, zone, i/4)
		all = append(all, s)
	}
	fmt.Fprintf(&cluster, "[end]\nendpoints = %d\n", servers)
	c.WriteFile("clusters/booking-web.toml", cluster.String())
	address := c.FreeAddress()
	path := c.WriteFile("yokestall.toml", fmt.Sprintf(program, address))
	p := c.Launch("yokestall", "exec bin/yokestall serve -c "+path, nil)
	c.AwaitServing(address, p)
	if c.Trouble {
		go c.hangInTurn(all)
	}
	c.load(address)
	c.judge()
}

// hangInTurn lets two servers at a time take requests and answer none for a while.
func (c *theCase) hangInTurn(all []*server) {
	for turn := range hangs {
		time.Sleep(between)
		for k := range hanging {
			s := all[(turn*hanging+k)%servers]
			c.Logf("%s: hangs", s.name)
			s.mu.Lock()
			s.resume = make(chan struct{})
			s.mu.Unlock()
			time.AfterFunc(hang, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				c.Logf("%s: goes on", s.name)
				close(s.resume)
				s.resume = nil
			})
		}
		time.Sleep(hang)
	}
}

// waitWhileHanging returns once the server does not hang. It reports whether it hung.
func (s *server) waitWhileHanging() bool {
	s.mu.Lock()
	resume := s.resume
	s.mu.Unlock()
	if resume != nil {
		<-resume
	}
	return resume != nil
}

// work does one job after the other. What waits goes on waiting and is done, whether or not anybody still wants it.
func (s *server) work() {
	for j := range s.jobs {
		s.waitWhileHanging()
		time.Sleep(work)
		if j.id != "" {
			s.run(j)
			close(j.done)
		}
	}
}

// run does the work of a request, unless the servers of its zone drop it as a repeat of its key.
func (s *server) run(j job) {
	if j.key != "" && !s.first(s.zone+" "+j.key) {
		s.Logf("%s: drops a repeat: id=%s booking=%s", s.name, j.id, j.booking)
		return
	}
	s.ranByID.Add(j.id)
	n := s.ranByBooking.Add(j.booking)
	s.Logf("%s: RAN id=%s booking=%s, run %d of this booking", s.name, j.id, j.booking, n)
}

// first reports whether a key was not seen in a zone within the time for which its servers drop repeats.
func (c *theCase) first(zoneAndKey string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, seen := c.keys[zoneAndKey]
	if seen && time.Since(last) < window {
		return false
	}
	c.keys[zoneAndKey] = time.Now()
	return true
}

// otherNodes sends the server the requests of the other nodes.
func (s *server) otherNodes() {
	for {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / others))
		select {
		case s.jobs <- job{}:
		default:
		}
	}
}

// handle takes a request or, if the queue is full, turns it away unseen.
func (s *server) handle(w http.ResponseWriter, q rig.Request) {
	j := job{q.ID, q.Key, q.Body, make(chan struct{})}
	s.mu.Lock()
	hangs := s.resume != nil
	s.mu.Unlock()
	if hangs { // takes it, also beyond its queue
		s.Logf("%s: takes id=%s and hangs", s.name, q.ID)
		go func() { s.jobs <- j }()
	} else {
		select {
		case s.jobs <- j:
		default:
			s.Logf("%s: full, turns away id=%s", s.name, q.ID)
			w.Header().Set("X-Not-Processed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	<-j.done
	if !s.waitWhileHanging() {
		fmt.Fprintf(w, "made for %s", q.ID)
	}
}

// load sends the deployment's mix of classes. A client whose request of an effect was refused sends it again, once.
func (c *theCase) load(address string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	var clients sync.WaitGroup
	end := time.Now().Add(hangs*(hang+between) + 2*time.Second)
	for n := 0; time.Now().Before(end); n++ {
		q := rig.Request{Method: "GET", Target: "/space-check", ID: fmt.Sprintf("r%d", n), Timeout: deadline}
		switch draw := rand.Float64(); {
		case draw < 0.42:
			q.Method, q.Target, q.Key = "POST", "/cargo-update", "key-"+q.ID
		case draw < 0.53:
			q.Method, q.Target = "POST", "/slot-confirm"
		}
		if q.Method == "POST" {
			q.Body = "booking-" + q.ID
		}
		clients.Go(func() {
			a := c.SendBy(client, address, q)
			if !a.Refused() || q.Method == "GET" {
				return
			}
			c.mu.Lock()
			c.refused = append(c.refused, refusal{q.ID, q.Body, q.Target})
			c.mu.Unlock()
			time.Sleep(400 * time.Millisecond) // the longest wait that is told
			q.ID += "-again"
			c.SendBy(client, address, q)
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
	}
	clients.Wait()
	time.Sleep(2 * time.Second) // what waits at the servers is done
}

// judge counts the requests that were refused and have run.
func (c *theCase) judge() {
	broken, twice := 0, 0
	for _, r := range c.refused {
		if c.ranByID.Count(r.id) == 0 {
			continue
		}
		broken++
		if c.ranByBooking.Count(r.booking) > 1 {
			twice++
		}
		c.Logf("REFUSED AND RAN: id=%s of %s; its booking ran %d times", r.id, r.class, c.ranByBooking.Count(r.booking))
	}
	c.Logf("%d refusals, %d of requests that have run; %d of their bookings ran twice", len(c.refused), broken, twice)
	if broken > 0 {
		c.End(rig.Broken)
	}
	c.End(rig.Held)
}
