package config

import (
	"net"
	"slices"
	"time"
)

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
