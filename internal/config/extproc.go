package config

import (
	"net"
	"time"
)

// Repeats is the settings of the deduplication of requests with an idempotency key. It is off without entries.
type Repeats struct {
	Entries int
	Bytes   int64
	Late    bool   // answers are awaited after their client's deadline
	Log     string // file of durable keys; "": none
}

// ExtProc is the settings of the external processing server for other proxies (envoy.service.ext_proc.v3). The zero
// value has none.
type ExtProc struct {
	Address           string // host:port; "": there is none
	Pick              bool   // the other proxy sends the request, where its route doesn't say
	Connections       int
	Streams           int           // limit over all connections
	PerConn           int           // limit of the streams of a connection
	Head              int           // bytes of a head
	Message           int           // bytes of a message
	Buffer            int64         // bytes of all buffered bodies
	Answer            int           // bytes of a response that can't be streamed
	First             time.Duration // timeout of a stream's first message
	Report            time.Duration // timeout of the outcome of a request that the other proxy sends
	Drain             time.Duration
	Override          bool
	Repeats           int   // limit of the entries of the deduplication
	RepeatBytes       int64 // limit of their size
	TLS               bool
	ClientRoots       string
	RequireClientCert bool
}

// readExtProc reads the settings of deduplication and of external processing.
func (p *Program) readExtProc(f *programFile, report reporter) {
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
		Repeats: x.Repeats, RepeatBytes: x.RepeatBytes << 20,
		TLS: x.TLS, ClientRoots: x.ClientRoots, RequireClientCert: x.ClientNeeds,
	}
	if _, port, err := net.SplitHostPort(x.Address); x.Address != "" && (err != nil || port == "") {
		report("extproc", -1, "address", "%q is no host:port", x.Address)
	}
	if x.Way != "carry" && x.Way != "pick" {
		report("extproc", -1, "way", "%q is none of carry, pick", x.Way)
	}
	for key, n := range map[string]int64{
		"connections": int64(x.Connections), "streams": int64(x.Streams), "streams_per_connection": int64(x.PerConn),
		"max_head_kb": int64(x.Head), "max_message_kb": int64(x.Message), "max_answer_kb": int64(x.Answer),
		"buffer_mb": x.Buffer,
		"repeats":   int64(x.Repeats), "repeats_mb": x.RepeatBytes,
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
