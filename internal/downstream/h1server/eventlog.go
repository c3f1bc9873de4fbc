package h1server

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"yokestall/internal/engine"
)

// maxEventsPerSecond limits the lines that the log gets of single requests and connections. A flood of bad requests must not
// become a flood of lines.
const maxEventsPerSecond = 10

// eventLog writes why requests were not served and connections were ended, within maxEventsPerSecond. Each line says how
// many were left out before it. It is safe for concurrent use.
type eventLog struct {
	log *slog.Logger

	mu          sync.Mutex
	second      time.Time // start of the second that written counts
	written     int
	suppressed  int
	currentTime func() time.Time
}

func newEventLog(log *slog.Logger) *eventLog {
	if log == nil {
		log = slog.Default()
	}
	return &eventLog{log: log, currentTime: time.Now}
}

// admit reports whether a line may be written, and how many were left out since the last one.
func (l *eventLog) admit() (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.currentTime(); now.Sub(l.second) >= time.Second {
		l.second, l.written = now, 0
	}
	if l.written == maxEventsPerSecond {
		l.suppressed++
		return 0, false
	}
	l.written++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// rejected logs a request that was answered without a decision of its cluster.
func (l *eventLog) rejected(r *http.Request, status int, cause string) {
	if suppressed, ok := l.admit(); ok {
		l.log.Info("request rejected", "id", r.Header.Get("X-Request-Id"), "status", status, "cause", cause,
			"client", r.RemoteAddr, "suppressed", suppressed)
	}
}

// notServed logs a request that its cluster rejected or failed.
func (l *eventLog) notServed(e *exchange, a engine.Answer) {
	verdict := "failed"
	if a.Verdict == engine.Rejected {
		verdict = "rejected"
	}
	timeLeft := time.Duration(0)
	streamed := e.payload.Upload != nil
	if !streamed { // the engine sets the deadline of a streamed body's request
		timeLeft = e.request.Deadline - e.server.options.Clock.Now()
	}
	if suppressed, ok := l.admit(); ok {
		l.log.Info("request not served", "id", e.payload.Header.Get("X-Request-Id"), "verdict", verdict,
			"may_have_run", a.MayHaveRun, "attempts", a.Attempts,
			"time_left_ms", timeLeft.Milliseconds(), "streamed_body", streamed,
			"suppressed", suppressed)
	}
}

// cutOff logs an answer that was passed on in part and could not be finished.
func (l *eventLog) cutOff(e *exchange, sent int64, cause error) {
	if suppressed, ok := l.admit(); ok {
		l.log.Info("answer cut off", "id", e.payload.Header.Get("X-Request-Id"), "sent_bytes", sent, "err", cause,
			"suppressed", suppressed)
	}
}

// lingerEnded logs a connection that was closed although its client still sent the body of a request that was answered.
func (l *eventLog) lingerEnded(client string, dropped int64, cause string) {
	if suppressed, ok := l.admit(); ok {
		l.log.Info("connection closed while its client was sending", "client", client, "dropped_bytes", dropped,
			"cause", cause, "suppressed", suppressed)
	}
}

// shareUsedUp logs that a connection has used up its share of the server's time, and waits for its turn from now on.
func (l *eventLog) shareUsedUp(r *http.Request) {
	if suppressed, ok := l.admit(); ok {
		l.log.Info("connection awaits its turn", "id", r.Header.Get("X-Request-Id"), "client", r.RemoteAddr,
			"suppressed", suppressed)
	}
}

// connectionEnded logs a connection that ended with a request on it that may be lost.
func (l *eventLog) connectionEnded(client, id, reason, request string) {
	if suppressed, ok := l.admit(); ok {
		l.log.Info("connection ended under a request", "client", client, "id", id, "reason", reason, "request", request,
			"suppressed", suppressed)
	}
}

// excessDropped logs that the bytes that a client sent behind its request were dropped, so that its connection ends.
func (l *eventLog) excessDropped(e *exchange) {
	if suppressed, ok := l.admit(); ok {
		l.log.Info("bytes behind a request dropped", "id", e.payload.Header.Get("X-Request-Id"), "client", e.r.RemoteAddr,
			"suppressed", suppressed)
	}
}

// headerCutOff logs a connection that was ended because of the number of fields in a header.
func (l *eventLog) headerCutOff(client string) {
	if suppressed, ok := l.admit(); ok {
		l.log.Info("header cut off, too many fields", "client", client, "suppressed", suppressed)
	}
}
