package config

import (
	"math"
	"net"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/route"
	"yokestall/policy"
)

// ParseProgram parses the program's own file. name is the file's name in problems. Errors are cluster.Problems with their
// lines, up to maxProblems joined.
func ParseProgram(name string, text []byte) (*Program, error) {
	p, err := parseProgram(name, text)
	if err := joinChecksumProblem(name, text, err); err != nil {
		return nil, err
	}
	return p, nil
}

func parseProgram(name string, text []byte) (*Program, error) {
	f := defaultProgramFile()
	if err := decode(name, text, f, programLimits); err != nil {
		return nil, err
	}
	report, problems := Reporter(name, text)
	p := newProgram(f)
	p.readListeners(f, report)
	p.readConnections(f, report)
	p.readClasses(&f.classFile, report)
	p.readTenants(&f.tenantTables, report)
	if f.Files.Tenants != "" && len(f.Tenant) > 0 {
		const text = "%s is to have the tenants, but %s has [[tenant]] tables too: only one of them may define tenants"
		report("files", -1, "tenants", text, f.Files.Tenants, name)
	}
	p.readXDS(f, report)
	p.checkFiles(report)
	p.checkLimits(report)
	p.checkFleet(report)
	p.readMetrics(f, report)
	p.readAgree(&f.Fleet.Agree, report)
	p.readExtProc(f, report)
	p.readRoutes(f, report)
	if err := problems(); err != nil {
		return nil, err
	}
	if len(p.Hosts) > 0 {
		var err error
		if p.Table, err = route.Compile(p.Hosts); err != nil {
			return nil, &cluster.Problem{Source: name, Text: truncateLines(err.Error())}
		}
	}
	return p, nil
}

// defaultProgramFile returns a programFile with the values of keys that the file may omit.
func defaultProgramFile() *programFile {
	f, rules := &programFile{}, policy.DefaultSettings().Rules
	f.Keys.Poll.Duration = time.Second
	f.Upstream.Connections, f.Upstream.Idle.Duration = 2048, 15*time.Second
	f.Upstream.ConnectTimeout.Duration = 250 * time.Millisecond
	f.Upstream.ClusterIdle.Duration = 2 * time.Minute
	f.Files.MaxShare, f.Files.Poll.Duration = 0.5, time.Second
	f.Limits.Attempts = 3
	f.Fleet.Nodes = 1
	f.Fleet.Agree.setDefaults()
	f.ExtProc.Way, f.ExtProc.Connections, f.ExtProc.Streams, f.ExtProc.PerConn = "carry", 256, 4096, 1000
	f.ExtProc.Head, f.ExtProc.Message, f.ExtProc.Answer, f.ExtProc.Buffer = 64, 1024, 1024, 64
	f.ExtProc.First.Duration, f.ExtProc.Report.Duration = 5*time.Second, time.Second
	f.Repeats.MB = 64
	f.ExtProc.Repeats, f.ExtProc.RepeatBytes = 100_000, 64
	f.XDS.Variant, f.XDS.Clusters, f.XDS.MaxMessage = "incremental", "all", 64
	f.Fleet.ColdFrom, f.Fleet.ColdFor.Duration = rules.SlowStartMinCapacity, rules.SlowStartWindow
	f.Fleet.FallMultiple, f.Fleet.FallFor.Duration = rules.OverloadMultiple, rules.OverloadDuration
	return f
}

// newProgram returns a program with the settings that are converted before they are checked.
func newProgram(f *programFile) *Program {
	return &Program{
		Upstream: Upstream{f.Upstream.Connections, f.Upstream.Idle.Duration, f.Upstream.ConnectTimeout.Duration},
		Files:    Files{f.Files.Clusters, f.Files.Tenants, f.Files.MaxShare, f.Files.Poll.Duration},
		Limits: policy.Limits{
			MaxAttempts: f.Limits.Attempts, AllowHedging: f.Limits.SecondCopies, AllowCancel: f.Limits.Cancel,
			MaxRetryAfter: f.Limits.MaxRetryAfter.Duration,
		},
		Rules: policy.Rules{
			SlowStartMinCapacity: f.Fleet.ColdFrom, SlowStartWindow: f.Fleet.ColdFor.Duration,
			OverloadMultiple: f.Fleet.FallMultiple, OverloadDuration: f.Fleet.FallFor.Duration,
			MaxPollInterval: policy.DefaultSettings().Rules.MaxPollInterval,
		},
		Nodes: f.Fleet.Nodes, Node: f.Fleet.Node, Zone: f.Fleet.Zone,
	}
}

// checkDuration reports a duration that is not from least to most.
func (report reporter) checkDuration(table, key string, d, least, most time.Duration) {
	if d < least || d > most {
		report(table, -1, key, "%v is not from %v to %v", d, least, most)
	}
}

// readConnections sets p.Keys, p.ClusterIdle and p.MemoryLimit, and checks them and the settings of upstream connections.
func (p *Program) readConnections(f *programFile, report reporter) {
	p.Keys = Keys{f.Keys.Folder, f.Keys.First, f.Keys.Poll.Duration}
	report.checkDuration("keys", "poll", p.Keys.Poll, 10*time.Millisecond, time.Minute)
	if n := p.Upstream.Connections; n < 1 || n > 1e6 {
		report("upstream", -1, "connections", "%d is not from 1 to 1000000", n)
	}
	report.checkDuration("upstream", "idle", p.Upstream.Idle, 100*time.Millisecond, time.Hour)
	report.checkDuration("upstream", "connect_timeout", p.Upstream.ConnectTimeout, time.Millisecond, time.Minute)
	p.ClusterIdle = f.Upstream.ClusterIdle.Duration
	p.MemoryLimit = f.Process.MemoryMB << 20
	if n := f.Process.MemoryMB; n != 0 && (n < minMemoryMB || n > maxMemoryMB) {
		report("process", -1, "memory_mb", "%d is neither 0 nor from %d to %d; the program's code alone takes 28",
			n, minMemoryMB, maxMemoryMB)
	}
	report.checkDuration("upstream", "cluster_idle", p.ClusterIdle, time.Second, 24*time.Hour)
}

func (p *Program) checkFiles(report reporter) {
	if p.Files.Folder == "" && !p.XDS.On() {
		report("files", -1, "clusters", "is missing; it must name the folder of the cluster files")
	}
	if s := p.Files.MaxShare; math.IsNaN(s) || s < 0 || s > 1 {
		report("files", -1, "max_removed_share", "%v is not from 0 to 1", s)
	}
	report.checkDuration("files", "poll", p.Files.Poll, 10*time.Millisecond, time.Minute)
}

func (p *Program) readMetrics(f *programFile, report reporter) {
	p.MetricsAddress = f.Metrics.Address
	if _, port, err := net.SplitHostPort(p.MetricsAddress); p.MetricsAddress != "" && (err != nil || port == "") {
		report("metrics", -1, "address", "%q is not host:port", p.MetricsAddress)
	}
}

func (p *Program) checkLimits(report reporter) {
	if n := p.Limits.MaxAttempts; n < 1 || n > 16 {
		report("limits", -1, "attempts", "%d is not from 1 to 16", n)
	}
	report.checkDuration("limits", "max_retry_after", p.Limits.MaxRetryAfter, 0, time.Hour)
}

func (p *Program) checkFleet(report reporter) {
	if p.Nodes < 1 || p.Nodes > 1e5 {
		report("fleet", -1, "nodes", "%d is not from 1 to 100000", p.Nodes)
	}
	if p.Node < 0 || p.Node >= max(1, p.Nodes) {
		report("fleet", -1, "node", "%d is not from 0 to nodes - 1", p.Node)
	}
	if c := p.Rules.SlowStartMinCapacity; math.IsNaN(c) || c < 0 || c > 1 {
		report("fleet", -1, "cold_from", "%v is not from 0 to 1", c)
	}
	if m := p.Rules.OverloadMultiple; math.IsNaN(m) || m < 0 || m > 1e6 {
		report("fleet", -1, "fall_multiple", "%v is not from 0 to 1000000", m)
	}
	report.checkDuration("fleet", "cold_for", p.Rules.SlowStartWindow, 0, time.Hour)
	report.checkDuration("fleet", "fall_for", p.Rules.OverloadDuration, 0, time.Hour)
}
