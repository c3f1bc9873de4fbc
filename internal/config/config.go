// Package config reads the files of the product program: the program's own file and
// the cluster files beside it. It is pure: it is given their bytes, and gives a whole,
// checked configuration or what is wrong with it, by file and line.
package config

import (
	"fmt"
	"math"
	"slices"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/route"
	"yokestall/policy"
)

// The bounds of files.
const (
	MaxFile    = 16 << 20 // bytes of one file
	MaxFiles   = 1000     // cluster files
	MaxClasses = 64
	MaxTenants = 250_000
	MaxServers = 100_000 // over all clusters of a version
)

// The bounds of the soft memory limit, in 2^20 bytes: below the least the collector would run without end.
const (
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
)

// MaxListeners is how many listeners a program has at most.
const MaxListeners = 16

// Listener is where HTTP clients connect. Two that are equal are the same listener.
type Listener struct {
	Name        string        // "" for the one of [listen]
	Address     string        // host:port
	Connections int           // client connections that may have asked, 4 or more
	Silent      int           // those that have sent nothing yet
	HTTP2       int           // streams of an HTTP/2 connection; 0: HTTP/1.1 alone
	MaxBody     int64         // bytes of a request's body; 0: any length
	Trust       string        // networks of proxies in front, with spaces between
	Forwarded   bool          // Forwarded is written too
	Proxy       string        // the PROXY protocol of those trusted: "" none, "optional", "required"
	Drain       time.Duration // streams may go on so long after the listener's end
	TLS         bool
	ClientRoots string        // clients' certificates have to lead to them; "": none are asked for
	ClientNeeds bool          // a client without one is turned away
	MaxHead     int           // bytes of a request's head
	Stall       time.Duration // a client may leave a stream untaken, or an upload, so long
	Resets      int           // RST_STREAM frames a second of an HTTP/2 connection; 0: no limit
	Controls    int           // its frames a second that carry no request; 0: no limit
	Pieces      int           // CONTINUATION frames of a head; 0: no limit
}

// Keys is where the keys of TLS are.
type Keys struct {
	Folder string // as written; relative to the program's file; "": there are none
	First  string // the pair for clients that name no server
	Poll   time.Duration
}

// Upstream are the figures of connections to servers.
type Upstream struct {
	Connections    int // to all servers of a cluster
	Idle           time.Duration
	ConnectTimeout time.Duration
}

// Files is where cluster files are and how they are taken.
type Files struct {
	Folder   string // as written; relative to the program's file
	Tenants  string // the tenants' own file, likewise; "": they stand in the program's file
	MaxShare float64
	Poll     time.Duration
}

// XDS says which control planes or files in xDS form are followed; the zero value: none.
type XDS struct {
	Servers     []string // host:port, in order of preference
	Incremental bool
	NodeID      string
	NodeGroup   string
	Listener    string // whose routes are followed; "": Routes are
	Routes      string // the route configuration that is followed; "": the only one there is
	Named       bool   // only clusters that routes lead to are asked for
	Class       string // of routes that name none; "": those are refused
	Keep        string // file for the last good version; "": none
	Folder      string // of files in xDS form; "": none
	MaxMessage  int    // bytes
}

// On tells whether any is followed.
func (x *XDS) On() bool { return len(x.Servers) > 0 || x.Folder != "" }

// Class is a class of requests; its place in Program.Classes is its index for policy.
type Class struct {
	Name string
	policy.Class
	// Of answers that go on as streams, and upgraded connections; 0: the program's own figure
	// for Progress, no bound for the others.
	Progress time.Duration // a server may leave one with nothing to read for so long
	Stream   time.Duration // the longest that one lasts
	Drain    time.Duration // one goes on so long after word that its server drains
}

// Tenant is a party with a share.
type Tenant struct {
	Name         string
	Certificates []string // names in clients' certificates that stand for it
	policy.Tenant
}

// Program is the program's own file.
type Program struct {
	Listener  Listener   // the first one
	Listeners []Listener // all of them
	Keys      Keys
	Upstream  Upstream
	// ClusterIdle is how long a cluster without requests keeps its decisions' state and its connections.
	ClusterIdle time.Duration
	// MemoryLimit is the soft limit of the Go runtime's memory, in bytes; 0: none of its own.
	MemoryLimit int64
	Files       Files
	Limits      policy.Limits
	Rules       policy.Rules
	Nodes       int
	Node        int
	Zone        string
	Classes     []Class
	Tenants     []Tenant
	Hosts       []route.VirtualHost
	Table       *route.Table // nil: routes are to come from a control plane
	XDS         XDS
	ExtProc     ExtProc
	Repeats     Repeats
	Agree       Agree
}

// Repeats is the store of keys of keyed requests over HTTP; off without entries.
type Repeats struct {
	Entries int
	Bytes   int64
	Late    bool   // attempts are listened to after their client's time
	Log     string // file; "": what is known ends with the process
}

// ExtProc is where other proxies ask what to do with their requests (envoy.service.ext_proc.v3);
// the zero value: nowhere.
type ExtProc struct {
	Address     string // host:port; "": nowhere
	Pick        bool   // the caller sends, where the route doesn't say
	Connections int
	Streams     int // open at once, over all connections
	PerConn     int // streams of a connection
	Head        int // bytes of a head's fields
	Message     int // bytes of a message
	Buffer      int64
	Answer      int // bytes of an answer that can't be passed on as a stream
	First       time.Duration
	Report      time.Duration
	Drain       time.Duration
	Override    bool
	Repeats     int // entries
	RepeatBytes int64
	TLS         bool
	ClientRoots string
	ClientNeeds bool
}

// Routed gives the program with routes, and classes beside its own, from elsewhere;
// tenants replace its own if there are any. The program's own routes go first: with some,
// it is given back as it is.
// A route whose class is not known is an error.
func (p *Program) Routed(table *route.Table, hosts []route.VirtualHost, classes []Class, tenants []Tenant) (*Program, error) {
	if len(p.Hosts) > 0 {
		return p, nil
	}
	out := *p
	out.Hosts, out.Table = hosts, table
	out.Classes = append(slices.Clone(p.Classes), classes...)
	if len(tenants) > 0 {
		out.Tenants = tenants
	}
	known := map[string]bool{}
	for _, c := range out.Classes {
		known[c.Name] = true
	}
	for i := range hosts {
		for j := range hosts[i].Routes {
			if r := &hosts[i].Routes[j]; r.Answer == nil && !known[r.Class] {
				return nil, fmt.Errorf("virtual host %s: route %s: class %q is not known", hosts[i].Name, r.Name, r.Class)
			}
		}
	}
	return &out, nil
}

// Class gives the index of a class, -1 if there is none of the name.
func (p *Program) Class(name string) int {
	return slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name })
}

type programFile struct {
	Listen   listenerFile   `toml:"listen"`
	Listener []listenerFile `toml:"listener"`
	Keys     struct {
		Folder string   `toml:"folder"`
		First  string   `toml:"first"`
		Poll   Duration `toml:"poll"`
	} `toml:"keys"`
	Upstream struct {
		Connections    int      `toml:"connections"`
		Idle           Duration `toml:"idle"`
		ConnectTimeout Duration `toml:"connect_timeout"`
		ClusterIdle    Duration `toml:"cluster_idle"`
	} `toml:"upstream"`
	Files struct {
		Clusters string   `toml:"clusters"`
		Tenants  string   `toml:"tenants"`
		MaxShare float64  `toml:"max_removed_share"`
		Poll     Duration `toml:"poll"`
	} `toml:"files"`
	XDS struct {
		Servers    []string `toml:"servers"`
		Variant    string   `toml:"variant"`
		NodeID     string   `toml:"node_id"`
		NodeGroup  string   `toml:"node_cluster"`
		Listener   string   `toml:"listener"`
		Routes     string   `toml:"routes"`
		Clusters   string   `toml:"clusters"`
		Class      string   `toml:"class"`
		Keep       string   `toml:"keep"`
		Folder     string   `toml:"folder"`
		MaxMessage int      `toml:"max_message_mb"`
	} `toml:"xds"`
	ExtProc struct {
		Address     string   `toml:"address"`
		Way         string   `toml:"way"`
		Connections int      `toml:"connections"`
		Streams     int      `toml:"streams"`
		PerConn     int      `toml:"streams_per_connection"`
		Head        int      `toml:"max_head_kb"`
		Message     int      `toml:"max_message_kb"`
		Answer      int      `toml:"max_answer_kb"`
		Buffer      int64    `toml:"buffer_mb"`
		First       Duration `toml:"first_message"`
		Report      Duration `toml:"report"`
		Drain       Duration `toml:"drain"`
		Override    bool     `toml:"mode_override"`
		Repeats     int      `toml:"repeats"`
		RepeatBytes int64    `toml:"repeats_mb"`
		TLS         bool     `toml:"tls"`
		ClientRoots string   `toml:"client_roots"`
		ClientNeeds bool     `toml:"client_required"`
	} `toml:"extproc"`
	Repeats struct {
		Entries int    `toml:"entries"`
		MB      int64  `toml:"mb"`
		Log     string `toml:"log"`
		Late    bool   `toml:"late"`
	} `toml:"repeats"`
	Process struct {
		MemoryMB int64 `toml:"memory_mb"`
	} `toml:"process"`
	Limits struct {
		Attempts      int      `toml:"attempts"`
		SecondCopies  bool     `toml:"second_copies"`
		Cancel        bool     `toml:"cancel"`
		MaxRetryAfter Duration `toml:"max_retry_after"`
	} `toml:"limits"`
	Fleet struct {
		Nodes        int       `toml:"nodes"`
		Node         int       `toml:"node"`
		Zone         string    `toml:"zone"`
		ColdFrom     float64   `toml:"cold_from"`
		ColdFor      Duration  `toml:"cold_for"`
		FallMultiple float64   `toml:"fall_multiple"`
		FallFor      Duration  `toml:"fall_for"`
		Agree        agreeFile `toml:"agree"`
	} `toml:"fleet"`
	classFile
	Host []struct {
		Name    string   `toml:"name"`
		Domains []string `toml:"domains"`
		Route   []struct {
			Name     string   `toml:"name"`
			Path     string   `toml:"path"`
			Prefix   string   `toml:"prefix"`
			Template string   `toml:"template"`
			Regex    string   `toml:"regex"`
			Methods  []string `toml:"methods"`
			Class    string   `toml:"class"`
			Cluster  string   `toml:"cluster"`
			Process  string   `toml:"processor"`
			Header   []struct {
				Name     string  `toml:"name"`
				Exact    *string `toml:"exact"`
				Prefix   *string `toml:"prefix"`
				Suffix   *string `toml:"suffix"`
				Contains *string `toml:"contains"`
				Regex    *string `toml:"regex"`
				Not      bool    `toml:"not"`
			} `toml:"header"`
			Request  *editFile `toml:"request"`
			Response *editFile `toml:"response"`
			Redirect *struct {
				Status     int    `toml:"status"`
				Scheme     string `toml:"scheme"`
				Host       string `toml:"host"`
				Port       int    `toml:"port"`
				Path       string `toml:"path"`
				Prefix     string `toml:"prefix"`
				StripQuery bool   `toml:"strip_query"`
			} `toml:"redirect"`
			Answer *struct {
				Status int    `toml:"status"`
				Text   string `toml:"text"`
			} `toml:"answer"`
			Share []struct {
				Cluster string `toml:"cluster"`
				Weight  uint32 `toml:"weight"`
			} `toml:"share"`
		} `toml:"route"`
	} `toml:"host"`
}

// ParseProgram reads the program's own file. name is what messages call it.
func ParseProgram(name string, text []byte) (*Program, error) {
	f := programFile{}
	d := policy.Defaults()
	f.Keys.Poll.Duration = time.Second
	f.Upstream.Connections, f.Upstream.Idle.Duration = 512, 15*time.Second
	f.Upstream.ConnectTimeout.Duration = 250 * time.Millisecond
	f.Upstream.ClusterIdle.Duration = 2 * time.Minute
	f.Files.MaxShare, f.Files.Poll.Duration = 0.5, time.Second
	f.Limits.Attempts = 3
	f.Fleet.Nodes = 1
	f.Fleet.Agree.defaults()
	f.ExtProc.Way, f.ExtProc.Connections, f.ExtProc.Streams, f.ExtProc.PerConn = "carry", 256, 4096, 1000
	f.ExtProc.Head, f.ExtProc.Message, f.ExtProc.Answer, f.ExtProc.Buffer = 64, 1024, 1024, 64
	f.ExtProc.First.Duration, f.ExtProc.Report.Duration = 5*time.Second, time.Second
	f.Repeats.MB = 64
	f.ExtProc.Repeats, f.ExtProc.RepeatBytes = 100_000, 64
	f.XDS.Variant, f.XDS.Clusters, f.XDS.MaxMessage = "incremental", "all", 64
	f.Fleet.ColdFrom, f.Fleet.ColdFor.Duration = d.Rules.SlowStartMinCapacity, d.Rules.SlowStartWindow
	f.Fleet.FallMultiple, f.Fleet.FallFor.Duration = d.Rules.OverloadMultiple, d.Rules.OverloadDuration
	if err := decode(name, text, &f, programLimits); err != nil {
		return nil, err
	}
	report, faults := Reporter(name, text)
	within := func(table, key string, d, least, most time.Duration) {
		if d < least || d > most {
			report(table, -1, key, "%v is not from %v to %v", d, least, most)
		}
	}
	p := &Program{
		Upstream: Upstream{f.Upstream.Connections, f.Upstream.Idle.Duration, f.Upstream.ConnectTimeout.Duration},
		Files:    Files{f.Files.Clusters, f.Files.Tenants, f.Files.MaxShare, f.Files.Poll.Duration},
		Limits: policy.Limits{
			MaxAttempts: f.Limits.Attempts, AllowHedging: f.Limits.SecondCopies, AllowCancel: f.Limits.Cancel,
			MaxRetryAfter: f.Limits.MaxRetryAfter.Duration,
		},
		Rules: policy.Rules{
			SlowStartMinCapacity: f.Fleet.ColdFrom, SlowStartWindow: f.Fleet.ColdFor.Duration,
			OverloadMultiple: f.Fleet.FallMultiple, OverloadDuration: f.Fleet.FallFor.Duration, MaxPollInterval: d.Rules.MaxPollInterval,
		},
		Nodes: f.Fleet.Nodes, Node: f.Fleet.Node, Zone: f.Fleet.Zone,
	}
	p.listeners(&f, report)
	p.Keys = Keys{f.Keys.Folder, f.Keys.First, f.Keys.Poll.Duration}
	within("keys", "poll", p.Keys.Poll, 10*time.Millisecond, time.Minute)
	if n := p.Upstream.Connections; n < 1 || n > 1e6 {
		report("upstream", -1, "connections", "%d is not from 1 to 1000000", n)
	}
	within("upstream", "idle", p.Upstream.Idle, 100*time.Millisecond, time.Hour)
	within("upstream", "connect_timeout", p.Upstream.ConnectTimeout, time.Millisecond, time.Minute)
	p.ClusterIdle = f.Upstream.ClusterIdle.Duration
	p.MemoryLimit = f.Process.MemoryMB << 20
	if n := f.Process.MemoryMB; n != 0 && (n < minMemoryMB || n > maxMemoryMB) {
		report("process", -1, "memory_mb", "%d is neither 0 nor from %d to %d", n, minMemoryMB, maxMemoryMB)
	}
	within("upstream", "cluster_idle", p.ClusterIdle, time.Second, 24*time.Hour)
	p.classes(&f.classFile, report)
	p.tenants(&f.tenantTables, report)
	if f.Files.Tenants != "" && len(f.Tenant) > 0 {
		report("files", -1, "tenants", "%s is to have the tenants, and %s has [[tenant]] too: one of them", f.Files.Tenants, name)
	}
	p.xds(&f, report)
	if p.Files.Folder == "" && !p.XDS.On() {
		report("files", -1, "clusters", "is missing: the folder of the cluster files")
	}
	if s := p.Files.MaxShare; math.IsNaN(s) || s < 0 || s > 1 {
		report("files", -1, "max_removed_share", "%v is not from 0 to 1", s)
	}
	within("files", "poll", p.Files.Poll, 10*time.Millisecond, time.Minute)
	if n := p.Limits.MaxAttempts; n < 1 || n > 16 {
		report("limits", -1, "attempts", "%d is not from 1 to 16", n)
	}
	within("limits", "max_retry_after", p.Limits.MaxRetryAfter, 0, time.Hour)
	if p.Nodes < 1 || p.Nodes > 1e5 {
		report("fleet", -1, "nodes", "%d is not from 1 to 100000", p.Nodes)
	}
	if p.Node < 0 || p.Node >= max(1, p.Nodes) {
		report("fleet", -1, "node", "%d is not from 0 to nodes less 1", p.Node)
	}
	if c := p.Rules.SlowStartMinCapacity; math.IsNaN(c) || c < 0 || c > 1 {
		report("fleet", -1, "cold_from", "%v is not from 0 to 1", c)
	}
	if m := p.Rules.OverloadMultiple; math.IsNaN(m) || m < 0 || m > 1e6 {
		report("fleet", -1, "fall_multiple", "%v is not from 0 to 1000000", m)
	}
	within("fleet", "cold_for", p.Rules.SlowStartWindow, 0, time.Hour)
	within("fleet", "fall_for", p.Rules.OverloadDuration, 0, time.Hour)
	p.agree(&f.Fleet.Agree, report)
	p.extproc(&f, report)
	p.routes(&f, report)
	if err := faults(); err != nil {
		return nil, err
	}
	if len(p.Hosts) > 0 {
		var err error
		if p.Table, err = route.Compile(p.Hosts); err != nil {
			return nil, &cluster.Problem{Source: name, Text: shortenLines(err.Error())}
		}
	}
	return p, nil
}
