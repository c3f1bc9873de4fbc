// Package config reads the files of the product program: the program's own file and
// the cluster files beside it. It is pure: it is given their bytes, and gives a whole,
// checked configuration or what is wrong with it, by file and line.
package config

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"net/http"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"

	"yokestall/internal/cluster"
	"yokestall/internal/edge"
	"yokestall/internal/route"
	"yokestall/policy"
)

// The bounds of files.
const (
	MaxFile    = 16 << 20 // bytes of one file
	MaxFiles   = 1000     // cluster files
	MaxClasses = 64
	MaxTenants = 1000
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
	Files     Files
	Limits    policy.Limits
	Rules     policy.Rules
	Nodes     int
	Node      int
	Zone      string
	Classes   []Class
	Tenants   []Tenant
	Hosts     []route.VirtualHost
	Table     *route.Table // nil: routes are to come from a control plane
	XDS       XDS
	ExtProc   ExtProc
	Repeats   Repeats
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

// Duration is a time as files have it: "1.4s", "250ms".
type Duration struct{ time.Duration }

// UnmarshalText reads a time such as "1.4s" or "250ms".
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// classFile is the part of a file on classes and tenants.
type classFile struct {
	Class []struct {
		Name      string   `toml:"name" json:"name"`
		Effect    string   `toml:"effect" json:"effect"`
		Scope     string   `toml:"scope" json:"scope"`
		Window    Duration `toml:"window" json:"window"`
		Deadline  Duration `toml:"deadline" json:"deadline"`
		Aim       Duration `toml:"aim" json:"aim"`
		Worth     float64  `toml:"worth" json:"worth"`
		LateWorth float64  `toml:"late_worth" json:"late_worth"`
		Progress  Duration `toml:"progress" json:"progress"`
		Stream    Duration `toml:"stream" json:"stream"`
		Drain     Duration `toml:"stream_drain" json:"stream_drain"`
	} `toml:"class" json:"classes"`
	Tenant []struct {
		Name      string  `toml:"name" json:"name"`
		QuotaPerS float64 `toml:"quota_per_s" json:"quota_per_s"`
		// Certificates are names in clients' certificates that stand for the tenant.
		Certificates []string `toml:"certificates" json:"certificates"`
	} `toml:"tenant" json:"tenants"`
}

// ParseClasses reads classes and tenants that come in a resource of a control plane, as
// JSON: {"classes": [...], "tenants": [...]} with the keys of the program's own file.
// Either may be missing.
func ParseClasses(text []byte) ([]Class, []Tenant, error) {
	var f classFile
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, nil, err
	}
	var p Program
	var found []error
	report := func(table string, index int, key, format string, args ...any) {
		found = append(found, fmt.Errorf("%s %d: %s: %s", table, index+1, key, fmt.Sprintf(format, args...)))
	}
	if len(f.Class) > 0 {
		p.classes(&f, report)
	}
	p.tenants(&f, report)
	return p.Classes, p.Tenants, errors.Join(found...)
}

type listenerFile struct {
	Name        string   `toml:"name"`
	Address     string   `toml:"address"`
	Connections *int     `toml:"connections"`
	Silent      *int     `toml:"silent"`
	HTTP2       *int     `toml:"http2_streams"`
	MaxBody     int64    `toml:"max_body_mb"`
	Trust       []string `toml:"trust"`
	Forwarded   bool     `toml:"forwarded"`
	Proxy       string   `toml:"proxy_protocol"`
	Drain       Duration `toml:"drain"`
	TLS         bool     `toml:"tls"`
	ClientRoots string   `toml:"client_roots"`
	ClientNeeds bool     `toml:"client_required"`
	MaxHead     *int     `toml:"max_head_kb"`
	Stall       Duration `toml:"client_stall"`
	Resets      *int     `toml:"http2_resets_per_s"`
	Controls    *int     `toml:"http2_controls_per_s"`
	Pieces      *int     `toml:"http2_head_pieces"`
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
	} `toml:"upstream"`
	Files struct {
		Clusters string   `toml:"clusters"`
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
	Limits struct {
		Attempts      int      `toml:"attempts"`
		SecondCopies  bool     `toml:"second_copies"`
		Cancel        bool     `toml:"cancel"`
		MaxRetryAfter Duration `toml:"max_retry_after"`
	} `toml:"limits"`
	Fleet struct {
		Nodes        int      `toml:"nodes"`
		Node         int      `toml:"node"`
		Zone         string   `toml:"zone"`
		ColdFrom     float64  `toml:"cold_from"`
		ColdFor      Duration `toml:"cold_for"`
		FallMultiple float64  `toml:"fall_multiple"`
		FallFor      Duration `toml:"fall_for"`
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

// editFile is what a route changes of a message's fields.
type editFile struct {
	Set    map[string]string `toml:"set"`
	Remove []string          `toml:"remove"`
}

func (e *editFile) edits() *route.Edits {
	if e == nil {
		return nil
	}
	out := &route.Edits{Remove: e.Remove}
	for _, name := range slices.Sorted(maps.Keys(e.Set)) {
		out.Set = append(out.Set, route.Field{Name: name, Value: e.Set[name]})
	}
	return out
}

// decode reads TOML strictly: a key that nobody knows is a mistake.
func decode(name string, text []byte, to any) error {
	switch {
	case len(text) > MaxFile:
		return &cluster.Problem{Source: name, Text: fmt.Sprintf("over %d bytes", MaxFile)}
	case !utf8.Valid(text):
		line := 1
		for i := 0; i < len(text); {
			r, n := utf8.DecodeRune(text[i:])
			if r == utf8.RuneError && n == 1 {
				break
			}
			if r == '\n' {
				line++
			}
			i += n
		}
		return &cluster.Problem{Source: name, Line: line, Text: "is not UTF-8"}
	}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(to)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var found []error
		for i := range strict.Errors {
			if i == 20 {
				break
			}
			e := &strict.Errors[i]
			line, _ := e.Position()
			found = append(found, &cluster.Problem{
				Source: name, Line: line, Field: strings.Join(e.Key(), "."), Text: "is no known key",
			})
		}
		return errors.Join(found...)
	}
	p := &cluster.Problem{Source: name, Text: strings.TrimPrefix(err.Error(), "toml: ")}
	if m := wrongType.FindStringSubmatch(p.Text); m != nil { // the library goes on with our own types
		p.Text = "can't be a " + m[1]
	}
	var where *toml.DecodeError
	if errors.As(err, &where) {
		p.Line, _ = where.Position()
		p.Field = strings.Join(where.Key(), ".")
	}
	return p
}

var wrongType = regexp.MustCompile(`^cannot decode TOML (\w+) into `)

var effects = map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}

var scopes = map[string]policy.Scope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}

// ParseProgram reads the program's own file. name is what messages call it.
func ParseProgram(name string, text []byte) (*Program, error) {
	f := programFile{}
	d := policy.Defaults()
	f.Keys.Poll.Duration = time.Second
	f.Upstream.Connections, f.Upstream.Idle.Duration = 512, 15*time.Second
	f.Upstream.ConnectTimeout.Duration = 250 * time.Millisecond
	f.Files.MaxShare, f.Files.Poll.Duration = 0.5, time.Second
	f.Limits.Attempts = 3
	f.Fleet.Nodes = 1
	f.ExtProc.Way, f.ExtProc.Connections, f.ExtProc.Streams, f.ExtProc.PerConn = "carry", 256, 4096, 1000
	f.ExtProc.Head, f.ExtProc.Message, f.ExtProc.Answer, f.ExtProc.Buffer = 64, 1024, 1024, 64
	f.ExtProc.First.Duration, f.ExtProc.Report.Duration = 5*time.Second, time.Second
	f.Repeats.MB = 64
	f.ExtProc.Repeats, f.ExtProc.RepeatBytes = 100_000, 64
	f.XDS.Variant, f.XDS.Clusters, f.XDS.MaxMessage = "incremental", "all", 64
	f.Fleet.ColdFrom, f.Fleet.ColdFor.Duration = d.Rules.ColdFrom, d.Rules.ColdFor
	f.Fleet.FallMultiple, f.Fleet.FallFor.Duration = d.Rules.FallMultiple, d.Rules.FallFor
	if err := decode(name, text, &f); err != nil {
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
		Files:    Files{f.Files.Clusters, f.Files.MaxShare, f.Files.Poll.Duration},
		Limits: policy.Limits{
			MaxAttempts: f.Limits.Attempts, SecondCopies: f.Limits.SecondCopies, Cancel: f.Limits.Cancel,
			MaxRetryAfter: f.Limits.MaxRetryAfter.Duration,
		},
		Rules: policy.Rules{
			ColdFrom: f.Fleet.ColdFrom, ColdFor: f.Fleet.ColdFor.Duration,
			FallMultiple: f.Fleet.FallMultiple, FallFor: f.Fleet.FallFor.Duration, MustAsk: d.Rules.MustAsk,
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
	p.classes(&f.classFile, report)
	p.tenants(&f.classFile, report)
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
	if c := p.Rules.ColdFrom; math.IsNaN(c) || c < 0 || c > 1 {
		report("fleet", -1, "cold_from", "%v is not from 0 to 1", c)
	}
	if m := p.Rules.FallMultiple; math.IsNaN(m) || m < 0 || m > 1e6 {
		report("fleet", -1, "fall_multiple", "%v is not from 0 to 1000000", m)
	}
	within("fleet", "cold_for", p.Rules.ColdFor, 0, time.Hour)
	within("fleet", "fall_for", p.Rules.FallFor, 0, time.Hour)
	p.extproc(&f, report)
	p.routes(&f, report)
	if err := faults(); err != nil {
		return nil, err
	}
	if len(p.Hosts) > 0 {
		var err error
		if p.Table, err = route.Compile(p.Hosts); err != nil {
			return nil, &cluster.Problem{Source: name, Text: err.Error()}
		}
	}
	return p, nil
}

// Decode reads TOML strictly into a value; what is wrong is told by file and line.
func Decode(name string, text []byte, to any) error { return decode(name, text, to) }

// Reporter collects what is wrong with a file's content, by the line of a table's key. index counts
// tables of the same name from 0; below 0: there is one. Err gives all of it.
func Reporter(name string, text []byte) (report func(table string, index int, key, format string, args ...any), err func() error) {
	var found []error
	lines := newLines(text)
	report = func(table string, index int, key, format string, args ...any) {
		p := &cluster.Problem{Source: name, Line: lines.of(table, index, key), Text: fmt.Sprintf(format, args...)}
		if p.Field = table; index >= 0 {
			p.Field += " " + strconv.Itoa(index+1)
		}
		if key != "" {
			p.Field += ": " + key
		}
		found = append(found, p)
	}
	return report, func() error { return errors.Join(found...) }
}

type reporter func(table string, index int, key, format string, args ...any)

func (p *Program) classes(f *classFile, report reporter) {
	if n := len(f.Class); n == 0 || n > MaxClasses {
		report("class", -1, "", "%d classes; 1 to %d", n, MaxClasses)
	}
	seen := map[string]bool{}
	for i, c := range f.Class {
		k := Class{Name: c.Name, Class: policy.Class{
			Deadline: c.Deadline.Duration, Aim: c.Aim.Duration, Worth: c.Worth, LateWorth: c.LateWorth,
			Window: c.Window.Duration,
		}, Progress: c.Progress.Duration, Stream: c.Stream.Duration, Drain: c.Drain.Duration}
		var ok bool
		if k.Effect, ok = effects[c.Effect]; !ok {
			report("class", i, "effect", "%q is none of safe, keyed, unsafe", c.Effect)
		}
		if k.Scope, ok = scopes[c.Scope]; !ok && c.Scope != "" {
			report("class", i, "scope", "%q is none of all, zone, cell", c.Scope)
		}
		if k.Worth == 0 {
			k.Worth = 1
		}
		switch {
		case c.Name == "" || len(c.Name) > cluster.MaxName:
			report("class", i, "name", "1 to %d bytes", cluster.MaxName)
		case seen[c.Name]:
			report("class", i, "name", "%s is another one's too", c.Name)
		}
		seen[c.Name] = true
		if k.Deadline < time.Millisecond*20 || k.Deadline > time.Hour {
			report("class", i, "deadline", "%v is not from 20ms to 1h", k.Deadline)
		}
		if k.Aim < 0 || k.Aim > k.Deadline {
			report("class", i, "aim", "%v is not from 0 to the deadline", k.Aim)
		}
		if math.IsNaN(k.Worth) || k.Worth < 0 || k.Worth > 1e6 {
			report("class", i, "worth", "%v is not from 0 to 1000000", k.Worth)
		}
		if math.IsNaN(k.LateWorth) || k.LateWorth < 0 || k.LateWorth > 1 {
			report("class", i, "late_worth", "%v is not from 0 to 1", k.LateWorth)
		}
		if k.Window < 0 || k.Window > 24*time.Hour {
			report("class", i, "window", "%v is not from 0 to 24h", k.Window)
		}
		for key, d := range map[string]time.Duration{"progress": k.Progress, "stream": k.Stream, "stream_drain": k.Drain} {
			if d != 0 && (d < 10*time.Millisecond || d > 30*24*time.Hour) {
				report("class", i, key, "%v is neither 0 nor from 10ms to 720h", d)
			}
		}
		if k.Effect == policy.Keyed && (k.Window == 0 || c.Scope == "") {
			report("class", i, "", "a keyed class needs a window and a scope")
		}
		p.Classes = append(p.Classes, k)
	}
}

func (p *Program) tenants(f *classFile, report reporter) {
	if n := len(f.Tenant); n > MaxTenants {
		report("tenant", -1, "", "%d tenants; %d at most", n, MaxTenants)
	}
	seen, certified := map[string]bool{}, map[string]bool{}
	for i, t := range f.Tenant {
		switch {
		case t.Name == "" || len(t.Name) > cluster.MaxName:
			report("tenant", i, "name", "1 to %d bytes", cluster.MaxName)
		case seen[t.Name]:
			report("tenant", i, "name", "%s is another one's too", t.Name)
		}
		seen[t.Name] = true
		if math.IsNaN(t.QuotaPerS) || t.QuotaPerS < 0 || t.QuotaPerS > 1e9 {
			report("tenant", i, "quota_per_s", "%v is not from 0 to 1e9", t.QuotaPerS)
		}
		for _, name := range t.Certificates {
			if name == "" || certified[name] {
				report("tenant", i, "certificates", "%q is empty or another one's too", name)
			}
			certified[name] = true
		}
		p.Tenants = append(p.Tenants, Tenant{t.Name, t.Certificates, policy.Tenant{QuotaPerS: t.QuotaPerS}})
	}
}

// listeners reads [listen], the one that most have, and [[listener]].
func (p *Program) listeners(f *programFile, report reporter) {
	if f.Listen.Address != "" || len(f.Listener) == 0 {
		p.listener("listen", -1, &f.Listen, f.Keys.Folder, report)
	}
	if n := len(f.Listener); n > MaxListeners {
		report("listener", -1, "", "%d listeners; %d at most", n, MaxListeners)
		return
	}
	seen, addresses := map[string]bool{"": true}, map[string]bool{}
	for i := range f.Listener {
		l := &f.Listener[i]
		if seen[l.Name] || len(l.Name) > cluster.MaxName {
			report("listener", i, "name", "wants a name of its own, of %d bytes at most", cluster.MaxName)
		}
		seen[l.Name] = true
		p.listener("listener", i, l, f.Keys.Folder, report)
	}
	for i, l := range p.Listeners {
		if _, port, _ := net.SplitHostPort(l.Address); port != "0" && addresses[l.Address] {
			report("listener", i, "address", "%s is another one's too", l.Address)
		}
		addresses[l.Address] = true
	}
	p.Listener = p.Listeners[0]
}

func (p *Program) listener(table string, i int, f *listenerFile, keys string, report reporter) {
	l := Listener{
		Name: f.Name, Address: f.Address, Connections: 1024, Silent: 256, HTTP2: 128,
		MaxBody: f.MaxBody << 20, Trust: strings.Join(f.Trust, " "), Forwarded: f.Forwarded, Proxy: f.Proxy,
		MaxHead: 16, Stall: 30 * time.Second, Resets: 200, Controls: 500, Pieces: 16,
		Drain: f.Drain.Duration, TLS: f.TLS, ClientRoots: f.ClientRoots, ClientNeeds: f.ClientNeeds,
	}
	for to, given := range map[*int]*int{&l.Connections: f.Connections, &l.Silent: f.Silent, &l.HTTP2: f.HTTP2,
		&l.MaxHead: f.MaxHead, &l.Resets: f.Resets, &l.Controls: f.Controls, &l.Pieces: f.Pieces} {
		if given != nil {
			*to = *given
		}
	}
	if _, port, err := net.SplitHostPort(l.Address); err != nil {
		report(table, i, "address", "%q is no host:port", l.Address)
	} else if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		report(table, i, "address", "%q: the port is not from 0 to 65535", l.Address)
	}
	if n := l.Connections; n < 4 || n > 1e6 {
		report(table, i, "connections", "%d is not from 4 to 1000000", n)
	}
	if n := l.Silent; n < 1 || n > 1e6 {
		report(table, i, "silent", "%d is not from 1 to 1000000", n)
	}
	if n := l.HTTP2; n < 0 || n > 1000 {
		report(table, i, "http2_streams", "%d is not from 0 to 1000", n)
	}
	if n := f.MaxBody; n < 0 || n > 1<<20 {
		report(table, i, "max_body_mb", "%d is not from 0 to 1048576", n)
	}
	if n := l.MaxHead; n < 1 || n > 1024 {
		report(table, i, "max_head_kb", "%d is not from 1 to 1024", n)
	}
	l.MaxHead <<= 10
	if f.Stall.Duration != 0 {
		l.Stall = f.Stall.Duration
	}
	if d := l.Stall; d < 100*time.Millisecond || d > time.Hour {
		report(table, i, "client_stall", "%v is not from 100ms to 1h", d)
	}
	for key, n := range map[string]int{"http2_resets_per_s": l.Resets, "http2_controls_per_s": l.Controls, "http2_head_pieces": l.Pieces} {
		if n < 0 || n > 1e6 {
			report(table, i, key, "%d is not from 0 to 1000000", n)
		}
	}
	if d := l.Drain; d < 0 || d > 24*time.Hour {
		report(table, i, "drain", "%v is not from 0 to 24h", d)
	}
	if _, err := edge.ParseTrust(f.Trust); err != nil {
		report(table, i, "trust", "%v", err)
	}
	if l.Proxy != "" && l.Proxy != "optional" && l.Proxy != "required" {
		report(table, i, "proxy_protocol", "%q is none of optional, required", l.Proxy)
	}
	if l.Proxy != "" && len(f.Trust) == 0 {
		report(table, i, "proxy_protocol", "trust has to name who may speak it")
	}
	switch {
	case l.TLS && keys == "":
		report(table, i, "tls", "wants [keys] folder")
	case !l.TLS && (l.ClientRoots != "" || l.ClientNeeds):
		report(table, i, "client_roots", "wants tls = true")
	case l.ClientNeeds && l.ClientRoots == "":
		report(table, i, "client_required", "wants client_roots")
	}
	p.Listeners = append(p.Listeners, l)
}

func (p *Program) xds(f *programFile, report reporter) {
	x := &f.XDS
	p.XDS = XDS{
		Servers: x.Servers, Incremental: x.Variant == "incremental", NodeID: x.NodeID, NodeGroup: x.NodeGroup,
		Listener: x.Listener, Routes: x.Routes, Named: x.Clusters == "routed", Class: x.Class,
		Keep: x.Keep, Folder: x.Folder, MaxMessage: x.MaxMessage << 20,
	}
	if n := len(x.Servers); n > 16 {
		report("xds", -1, "servers", "%d; 16 at most", n)
	}
	for _, s := range x.Servers {
		if host, port, err := net.SplitHostPort(s); err != nil || host == "" || port == "" {
			report("xds", -1, "servers", "%q is no host:port", s)
		}
	}
	if x.Variant != "incremental" && x.Variant != "state-of-the-world" {
		report("xds", -1, "variant", "%q is none of incremental, state-of-the-world", x.Variant)
	}
	if x.Clusters != "all" && x.Clusters != "routed" {
		report("xds", -1, "clusters", "%q is none of all, routed", x.Clusters)
	}
	if n := x.MaxMessage; n < 1 || n > 256 {
		report("xds", -1, "max_message_mb", "%d is not from 1 to 256", n)
	}
	if len(x.Servers) > 0 && x.Listener == "" && x.Routes == "" && len(f.Host) == 0 {
		report("xds", -1, "servers", "listener or routes has to say which routes are followed, or [[host]] has to have some")
	}
	if x.Listener != "" && x.Routes != "" {
		report("xds", -1, "routes", "stands beside listener; one of them")
	}
	if x.Class != "" && !slices.ContainsFunc(p.Classes, func(c Class) bool { return c.Name == x.Class }) {
		report("xds", -1, "class", "%q is no [[class]]", x.Class)
	}
}

func (p *Program) extproc(f *programFile, report reporter) {
	p.Repeats = Repeats{Entries: f.Repeats.Entries, Bytes: f.Repeats.MB << 20, Log: f.Repeats.Log, Late: f.Repeats.Late}
	if n := f.Repeats.Entries; n < 0 || n > 10e6 {
		report("repeats", -1, "entries", "%d is not from 0 to 10000000", n)
	}
	if f.Repeats.Log != "" && f.Repeats.Entries == 0 {
		report("repeats", -1, "log", "without entries nothing is written to it")
	}
	if n := f.Repeats.MB; n < 1 || n > 1<<20 {
		report("repeats", -1, "mb", "%d is not from 1 to 1048576", n)
	}
	x := &f.ExtProc
	p.ExtProc = ExtProc{
		Address: x.Address, Pick: x.Way == "pick", Connections: x.Connections, Streams: x.Streams, PerConn: x.PerConn,
		Head: x.Head << 10, Message: x.Message << 10, Answer: x.Answer << 10, Buffer: x.Buffer << 20,
		First: x.First.Duration, Report: x.Report.Duration, Drain: x.Drain.Duration, Override: x.Override,
		Repeats: x.Repeats, RepeatBytes: x.RepeatBytes << 20, TLS: x.TLS, ClientRoots: x.ClientRoots, ClientNeeds: x.ClientNeeds,
	}
	if _, port, err := net.SplitHostPort(x.Address); x.Address != "" && (err != nil || port == "") {
		report("extproc", -1, "address", "%q is no host:port", x.Address)
	}
	if x.Way != "carry" && x.Way != "pick" {
		report("extproc", -1, "way", "%q is none of carry, pick", x.Way)
	}
	for key, n := range map[string]int64{
		"connections": int64(x.Connections), "streams": int64(x.Streams), "streams_per_connection": int64(x.PerConn),
		"max_head_kb": int64(x.Head), "max_message_kb": int64(x.Message), "max_answer_kb": int64(x.Answer), "buffer_mb": x.Buffer,
		"repeats": int64(x.Repeats), "repeats_mb": x.RepeatBytes,
	} {
		if n < 1 || n > 1e6 {
			report("extproc", -1, key, "%d is not from 1 to 1000000", n)
		}
	}
	for key, d := range map[string]time.Duration{"first_message": x.First.Duration, "report": x.Report.Duration} {
		if d < 10*time.Millisecond || d > time.Minute {
			report("extproc", -1, key, "%v is not from 10ms to 1m", d)
		}
	}
	if d := x.Drain.Duration; d < 0 || d > 24*time.Hour {
		report("extproc", -1, "drain", "%v is not from 0 to 24h", d)
	}
	switch {
	case x.TLS && f.Keys.Folder == "":
		report("extproc", -1, "tls", "wants [keys] folder")
	case !x.TLS && (x.ClientRoots != "" || x.ClientNeeds):
		report("extproc", -1, "client_roots", "wants tls = true")
	case x.ClientNeeds && x.ClientRoots == "":
		report("extproc", -1, "client_required", "wants client_roots")
	}
}

func (p *Program) routes(f *programFile, report reporter) {
	if len(f.Host) == 0 && p.XDS.On() {
		return
	}
	if len(f.Host) == 0 {
		report("host", -1, "", "no [[host]]: nothing would be routed")
	}
	n := -1 // over all hosts, as [[host.route]] stands in the file
	for i := range f.Host {
		h := &f.Host[i]
		v := route.VirtualHost{Name: h.Name, Domains: h.Domains}
		if len(v.Domains) == 0 {
			v.Domains = []string{"*"}
		}
		for j := range h.Route {
			n++
			r := &h.Route[j]
			out := route.Route{Name: r.Name, Methods: r.Methods, Class: r.Class, Processor: r.Process}
			if r.Process != "" && r.Process != "carry" && r.Process != "pick" {
				report("host.route", n, "processor", "%q is none of carry, pick", r.Process)
			}
			kinds := 0
			for kind, text := range map[route.PathKind]string{
				route.Exact: r.Path, route.Prefix: r.Prefix, route.Template: r.Template, route.Regex: r.Regex,
			} {
				if text != "" {
					kinds++
					out.Kind, out.Path = kind, text
				}
			}
			if kinds != 1 {
				report("host.route", n, "", "one of path, prefix, template, regex is wanted; %d are given", kinds)
			}
			out.Request, out.Response = r.Request.edits(), r.Response.edits()
			if d := r.Redirect; d != nil {
				out.Answer = &route.Answer{
					Redirect: true, Status: cmp.Or(d.Status, http.StatusMovedPermanently), Scheme: d.Scheme, Host: d.Host, Port: d.Port,
					Path: d.Path, Prefix: d.Prefix, StripQuery: d.StripQuery,
				}
				if s := out.Answer.Status; s != 301 && s != 302 && s != 303 && s != 307 && s != 308 {
					report("host.route", n, "redirect", "status %d is none of 301, 302, 303, 307, 308", s)
				}
			}
			if d := r.Answer; d != nil {
				out.Answer = &route.Answer{Status: d.Status, Text: d.Text}
				if d.Status < 200 || d.Status > 599 || len(d.Text) > 4096 {
					report("host.route", n, "answer", "status %d, %d bytes: 200 to 599 and 4096 at most", d.Status, len(d.Text))
				}
			}
			if out.Answer == nil && p.Class(r.Class) < 0 {
				report("host.route", n, "class", "%q is no [[class]]", r.Class)
			}
			for _, x := range r.Header {
				m := route.Header{Name: x.Name, Kind: route.HeaderPresent, Invert: x.Not}
				given := 0
				for kind, text := range map[route.HeaderKind]*string{
					route.HeaderExact: x.Exact, route.HeaderPrefix: x.Prefix, route.HeaderSuffix: x.Suffix,
					route.HeaderContains: x.Contains, route.HeaderRegex: x.Regex,
				} {
					if text != nil {
						given++
						m.Kind, m.Value = kind, *text
					}
				}
				if given > 1 {
					report("host.route", n, "header", "%s: one of exact, prefix, suffix, contains, regex at most", x.Name)
				}
				out.Headers = append(out.Headers, m)
			}
			switch {
			case out.Answer != nil:
				if r.Cluster != "" || len(r.Share) > 0 || r.Redirect != nil && r.Answer != nil {
					report("host.route", n, "", "one of cluster, [[host.route.share]], redirect, answer is wanted")
				}
			case (r.Cluster == "") == (len(r.Share) == 0):
				report("host.route", n, "cluster", "either cluster or [[host.route.share]] is wanted")
			case r.Cluster != "":
				out.Clusters = []route.Weighted{{Cluster: r.Cluster, Weight: 1}}
			default:
				for _, s := range r.Share {
					out.Clusters = append(out.Clusters, route.Weighted{Cluster: s.Cluster, Weight: s.Weight})
				}
			}
			v.Routes = append(v.Routes, out)
		}
		p.Hosts = append(p.Hosts, v)
	}
}

// lines finds where things stand in a TOML file, for messages: it goes by the lines'
// beginnings, so that a string over several lines can lead it astray, not more.
type lines struct{ text []string }

func newLines(text []byte) lines { return lines{strings.Split(string(text), "\n")} }

var tableLine = regexp.MustCompile(`^\s*\[+\s*([A-Za-z0-9_.]+)\s*\]+`)

// of gives the line of a key in the table with an index among those of its name (below
// 0: the first), the table's where the key is not there, 0 where the table is not.
func (l lines) of(table string, index int, key string) int {
	found, inside, n := 0, false, -1
	for i, line := range l.text {
		if m := tableLine.FindStringSubmatch(line); m != nil {
			if inside {
				return found
			}
			if m[1] == table {
				n++
				if inside = n == max(0, index); inside {
					found = i + 1
				}
			}
			continue
		}
		if inside && key != "" {
			name, _, ok := strings.Cut(line, "=")
			if ok && strings.TrimSpace(name) == key {
				return i + 1
			}
		}
	}
	return found
}

// File is a file's name, for messages, and its bytes.
type File struct {
	Name string
	Text []byte
}

type clusterFile struct {
	Cluster struct {
		Name      string `toml:"name"`
		NoServers string `toml:"no_servers"`
		ShrinkTo  *int   `toml:"shrink_to"`
		Protocol  string `toml:"protocol"`
		TLS       *struct {
			Name        string   `toml:"server_name"`
			Roots       string   `toml:"roots"`
			Certificate string   `toml:"certificate"`
			Pins        []string `toml:"pins"`
		} `toml:"tls"`
	} `toml:"cluster"`
	Endpoint []struct {
		ID        string  `toml:"id"`
		Address   string  `toml:"address"`
		Zone      string  `toml:"zone"`
		Cell      int     `toml:"cell"`
		Weight    float64 `toml:"weight"`
		Health    string  `toml:"health"`
		Priority  int     `toml:"priority"`
		StartedMs int64   `toml:"started_ms"`
	} `toml:"endpoint"`
	End struct {
		Endpoints *int `toml:"endpoints"`
	} `toml:"end"`
}

var (
	clusterTable = regexp.MustCompile(`(?m)^[ \t]*(\[[ \t]*(cluster|end)[ \t]*\]|\[\[[ \t]*endpoint[ \t]*\]\])`)
	programTable = regexp.MustCompile(`(?m)^[ \t]*\[\[?[ \t]*(listen|upstream|files|limits|fleet|class|tenant|host)[ \t.\]]`)
)

// IsCluster tells whether a text looks like a cluster file rather than the program's own,
// by the tables in it, so that one with faults is told of those.
func IsCluster(text []byte) bool { return clusterTable.Match(text) && !programTable.Match(text) }

var closing = regexp.MustCompile(`(?:^|\n)endpoints = ([0-9]{1,6})\n$`)

// ParseCluster reads a cluster file. Its last line has to be the closing entry, which
// states how many endpoints the file has:
//
//	[end]
//	endpoints = 3
//
// with its end of line and nothing behind it, so that no part of a file is ever taken
// for the whole.
func ParseCluster(file File) (*cluster.Cluster, error) {
	var f clusterFile
	if len(file.Text) > MaxFile {
		return nil, &cluster.Problem{Source: file.Name, Text: fmt.Sprintf("over %d bytes", MaxFile)}
	}
	if !closing.Match(file.Text[max(0, len(file.Text)-64):]) {
		return nil, &cluster.Problem{Source: file.Name, Line: bytes.Count(file.Text, []byte("\n")) + 1, Text: "is not whole: " +
			`the last lines have to be "[end]" and "endpoints = N"`}
	}
	if err := decode(file.Name, file.Text, &f); err != nil {
		return nil, err
	}
	c := &cluster.Cluster{Name: f.Cluster.Name, Source: file.Name, ShrinkTo: -1}
	l := newLines(file.Text)
	at := func(index int, field string) int {
		if index < 0 {
			return l.of("cluster", 0, field)
		}
		return l.of("endpoint", index, field)
	}
	if c.Name == "" {
		c.Name = strings.TrimSuffix(path.Base(file.Name), ".toml")
	}
	switch f.Cluster.NoServers {
	case "":
	case "on purpose":
		c.Empty = true
	default:
		return nil, &cluster.Problem{Source: file.Name, Line: at(-1, "no_servers"), Field: "no_servers", Text: `may say "on purpose" only`}
	}
	switch f.Cluster.Protocol {
	case "", "http1":
	case "http2":
		c.Transport.HTTP2 = true
	default:
		return nil, &cluster.Problem{Source: file.Name, Line: at(-1, "protocol"), Field: "protocol", Text: "is none of http1, http2"}
	}
	if t := f.Cluster.TLS; t != nil {
		for _, pin := range t.Pins {
			if sum, err := base64.StdEncoding.DecodeString(pin); err != nil || len(sum) != 32 {
				return nil, &cluster.Problem{Source: file.Name, Line: l.of("cluster.tls", 0, "pins"), Field: "pins", Text: fmt.Sprintf("%q is no SHA-256 in base 64", pin)}
			}
		}
		c.Transport.TLS = &cluster.TLS{Name: t.Name, Roots: t.Roots, Certificate: t.Certificate, Pins: t.Pins}
	}
	if n := f.Cluster.ShrinkTo; n != nil {
		if *n < 0 {
			return nil, &cluster.Problem{Source: file.Name, Line: at(-1, "shrink_to"), Field: "shrink_to", Text: "is negative"}
		}
		c.ShrinkTo = *n
	}
	if n := f.End.Endpoints; n == nil || *n != len(f.Endpoint) {
		text := fmt.Sprintf("%d servers are named", len(f.Endpoint))
		if n != nil {
			text = fmt.Sprintf("says %d, ", *n) + text
		}
		return nil, &cluster.Problem{Source: file.Name, Line: l.of("end", 0, "endpoints"), Field: "end: endpoints", Text: text}
	}
	for i, e := range f.Endpoint {
		health, err := cluster.ParseHealth(e.Health)
		if err != nil {
			return nil, &cluster.Problem{Source: file.Name, Line: at(i, "health"), Field: "health", Text: err.Error()}
		}
		c.Endpoints = append(c.Endpoints, cluster.Endpoint{
			ID: e.ID, Address: e.Address, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, Health: health, Started: e.StartedMs,
			Priority: e.Priority,
		})
	}
	if err := c.Check(at); err != nil {
		return nil, err
	}
	return c, nil
}

// ParseClusters reads all cluster files of a version. Any fault in any of them is a
// fault of the version.
func ParseClusters(files []File) (map[string]*cluster.Cluster, error) {
	if len(files) > MaxFiles {
		return nil, fmt.Errorf("%d cluster files; %d at most", len(files), MaxFiles)
	}
	var found []error
	clusters := map[string]*cluster.Cluster{}
	for _, f := range files {
		c, err := ParseCluster(f)
		if err != nil {
			found = append(found, err)
			continue
		}
		if first := clusters[c.Name]; first != nil {
			found = append(found, &cluster.Problem{Source: f.Name, Text: fmt.Sprintf("cluster %s is %s's too", c.Name, first.Source)})
			continue
		}
		clusters[c.Name] = c
	}
	if len(found) > 0 {
		return nil, errors.Join(found...)
	}
	return clusters, nil
}
