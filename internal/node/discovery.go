package node

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/httpup"
	"yokestall/policy"
)

const (
	watchWait    = 5 * time.Second       // what a watch asks discovery to wait
	watchSlack   = 2 * time.Second       // and how much longer the answer may take
	watchPause   = 20 * time.Millisecond // a watch answered sooner is followed by such a pause
	backoffFirst = 100 * time.Millisecond
	backoffMost  = time.Second
	maxList      = 8 << 20 // bytes of a list
)

// registry is discovery's list, or what changed in it.
type registry struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// instance is a line of the list.
type instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"`
}

// id is the same at every node, which the module's ring of servers relies on.
func (in *instance) id() policy.ServerID {
	h := fnv.New64a()
	io.WriteString(h, in.InstanceID)
	return policy.ServerID(h.Sum64())
}

// state takes a word that it doesn't know for one that allows nothing new.
func (in *instance) state() policy.State {
	switch in.Lifecycle {
	case "Ready":
		return policy.Ready
	case "Gone":
		return policy.Gone
	}
	return policy.Draining
}

// discovery follows the list of servers.
type discovery struct {
	url        string
	to         listener
	zones      map[string]int
	asked      bool // watches load discovery: the module says when to start one
	wanted     chan struct{}
	moved      <-chan string // the latest address to follow the list at
	listed     bool          // a list is at hand; its generation may well be 0
	generation uint64
	client     *http.Client
	clock      engine.Clock
	log        *slog.Logger
}

// listener takes news of the list: where servers are, and what decides makes of it.
type listener interface {
	Servers(whole bool, list []httpup.Server)
	Members(kind policy.ListKind, entries []policy.Entry) bool
}

func newDiscovery(cfg *Config, clock engine.Clock, moved <-chan string, log *slog.Logger) *discovery {
	return &discovery{
		url: listURL(cfg.Discovery), zones: cfg.Zones, moved: moved,
		asked: cfg.Policy.ListAsked, wanted: make(chan struct{}, 1),
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2}},
		clock:  clock,
		log:    log,
	}
}

// watch has a watch of the list started.
func (d *discovery) watch() {
	select {
	case d.wanted <- struct{}{}:
	default: // one is wanted already
	}
}

func listURL(addr string) string { return "http://" + addr + "/registry/instances" }

// run starts from the list as it was known and follows it until the context
// ends. When discovery moves, the watch at the old address ends and the new one
// is asked for the whole list; the node serves by the old list meanwhile.
func (d *discovery) run(ctx context.Context, known registry, ready func()) {
	d.generation = known.Generation
	d.listed = len(known.Instances) > 0
	if d.listed {
		d.tell(policy.ListCached, known.Instances)
		ready()
	} else if d.asked {
		d.tell(policy.ListCached, nil) // has the module ask for the list
	}
	watching := !d.asked
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			defer close(left)
			d.follow(here, watching, ready)
		}()
		select {
		case addr := <-d.moved:
			leave()
			<-left
			d.log.Info("discovery moves", "addr", addr)
			d.client.CloseIdleConnections()
			d.url, d.listed, watching = listURL(addr), false, true
		case <-ctx.Done():
			leave()
			<-left
		}
	}
}

// follow watches the list at one address until the context ends.
func (d *discovery) follow(ctx context.Context, watching bool, ready func()) {
	delay := backoffFirst
	for ctx.Err() == nil {
		if !watching {
			select {
			case <-d.wanted:
			case <-ctx.Done():
				return
			}
		}
		asked := time.Now()
		list, err := d.get(ctx)
		if err == nil {
			delay, watching = backoffFirst, true
			d.listed, d.generation = true, list.Generation
			switch {
			case list.Reset:
				d.tell(policy.ListFull, list.Instances)
			case len(list.Instances) > 0:
				d.tell(policy.ListDelta, list.Instances)
			}
			ready()
			if time.Since(asked) < watchPause {
				// A discovery that doesn't wait must not be asked in a loop without a breath.
				pause(ctx, watchPause)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		d.log.Warn("discovery failed", "err", err)
		if d.asked {
			watching = false
			d.tell(policy.ListFailed, nil) // it asks again after a while
			continue
		}
		// Nodes that lost discovery together must not come back in step.
		pause(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, backoffMost)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// get asks for what is newer than the list at hand, and waits for it. With no
// list at hand it asks for all.
func (d *discovery) get(ctx context.Context) (registry, error) {
	var list registry
	url, wait := d.url, watchSlack
	if d.listed {
		wait += watchWait
		url += "?after=" + strconv.FormatUint(d.generation, 10) +
			"&wait_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return list, err
	}
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return list, fmt.Errorf("list: %w", err)
	}
	if !d.listed {
		list.Reset = true // it was asked for all
	}
	return list, nil
}

// tell passes a list on. Lines with no id, or no address where one is needed, are left out.
func (d *discovery) tell(kind policy.ListKind, list []instance) {
	var servers []httpup.Server
	var entries []policy.Entry
	for _, in := range list {
		state := in.state()
		if in.InstanceID == "" || (in.HostPort == "" && state == policy.Ready) {
			continue
		}
		zone, ok := d.zones[in.Zone]
		if !ok {
			zone = len(d.zones) // no zone of ours
		}
		servers = append(servers, httpup.Server{
			ID: in.id(), Address: in.HostPort, Start: in.StartedAtMs, Gone: state == policy.Gone,
		})
		entries = append(entries, policy.Entry{
			Server: in.id(), Zone: zone, Cell: in.Cell, State: state,
			Weight: max(0, in.Weight), Started: d.started(in.StartedAtMs),
		})
	}
	if kind != policy.ListFailed {
		d.to.Servers(kind != policy.ListDelta, servers) // before any of them can be chosen
	}
	d.to.Members(kind, entries)
}

// started maps wall time onto the clock.
func (d *discovery) started(unixMs float64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return d.clock.At(time.UnixMilli(int64(unixMs)))
}
