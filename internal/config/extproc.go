package config

import (
	"net"
	"time"
)

// Repeats holds the settings of the deduplication of requests that have an idempotency key.
type Repeats struct {
	Entries int    // limit of the stored keys; 0: deduplication is off
	Bytes   int64  // limit of the stored keys and answers, in bytes
	Late    bool   // outcomes of attempts are awaited beyond the client's deadline
	Log     string // file that stores keys durably; "": none
}

// ExtProc holds the settings of the external processing server for other proxies (envoy.service.ext_proc.v3). In the zero
// value the server is off.
type ExtProc struct {
	Address           string        // host:port of the listener; "": the server is off
	Pick              bool          // the other proxy sends the request itself, unless the route says otherwise
	Connections       int           // limit of connections
	Streams           int           // limit of streams over all connections
	PerConn           int           // limit of streams of a connection
	Head              int           // limit of a request head, in bytes
	Message           int           // limit of a message, in bytes
	Buffer            int64         // limit of all buffered bodies together, in bytes
	Answer            int           // limit of a response that can't be streamed, in bytes
	First             time.Duration // timeout for a stream's first message
	Report            time.Duration // timeout for the other proxy's next request after a retry decision
	Drain             time.Duration // minimum drain timeout of streams at shutdown
	Override          bool          // the other proxy applies mode_override
	Repeats           int           // limit of the deduplication's entries
	RepeatBytes       int64         // limit of the deduplication's entries together, in bytes
	TLS               bool
	ClientRoots       string // name of the root bundle that verifies client certificates; "": none are requested
	RequireClientCert bool   // a client without a certificate is rejected
}

// readExtProc checks the tables [repeats] and [extproc] and sets p.Repeats and p.ExtProc.
func (p *Program) readExtProc(f *programFile, report reporter) {
	p.Repeats = Repeats{Entries: f.Repeats.Entries, Bytes: f.Repeats.MB << 20, Log: f.Repeats.Log, Late: f.Repeats.Late}
	if n := f.Repeats.Entries; n < 0 || n > 10e6 {
		report("repeats", -1, "entries", "%d is not from 0 to 10000000", n)
	}
	if f.Repeats.Log != "" && f.Repeats.Entries == 0 {
		report("repeats", -1, "log", "requires entries above 0: without entries nothing is written to the log")
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
		report("extproc", -1, "address", "%q is not host:port", x.Address)
	}
	if x.Way != "carry" && x.Way != "pick" {
		report("extproc", -1, "way", "%q is not one of carry, pick", x.Way)
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
		report("extproc", -1, "tls", "requires the folder in [keys]")
	case !x.TLS && (x.ClientRoots != "" || x.ClientNeeds):
		report("extproc", -1, "client_roots", "requires tls = true")
	case x.ClientNeeds && x.ClientRoots == "":
		report("extproc", -1, "client_required", "requires client_roots")
	}
}
