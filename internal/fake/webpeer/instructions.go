package webpeer

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	// echoPart is the largest number of bytes of a body that are echoed at a time.
	echoPart = 4 << 10

	// unknownPart is the largest number of bytes of a response without a declared length that are sent at a time.
	unknownPart = 10_000

	// brokenLength is the declared length in bytes of a response that is aborted in its body.
	brokenLength = "1000000"
)

// exchange is a request and its response, with the instruction "NAME ARGUMENT" from the request header X-Do.
type exchange struct {
	http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	argument   string
	number     int   // the argument as a number; 0 if it is not a number
	count      int64 // number of completed requests so far, with this one
}

// instructions has the instructions that are carried out after the request body has been read, by name.
var instructions = map[string]func(*exchange){
	"status":     (*exchange).status,
	"known":      (*exchange).knownLength,
	"unknown":    (*exchange).unknownLength,
	"trailer":    (*exchange).trailer,
	"fields":     (*exchange).fields,
	"hop":        (*exchange).hopByHop,
	"event":      (*exchange).event,
	"break":      (*exchange).breakOff,
	"break-once": (*exchange).breakOnce,
}

// ServeHTTP implements http.Handler. It answers a request without a known instruction with the request's method and
// target.
func (p *Peer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.Started.Add(1)
	name, argument, _ := strings.Cut(r.Header.Get("X-Do"), " ")
	x := &exchange{ResponseWriter: w, request: r, controller: http.NewResponseController(w), argument: argument}
	x.number, _ = strconv.Atoi(argument)
	switch name {
	case "early":
		x.answerEarly()
		return
	case "echo":
		x.echo()
		return
	}
	sum := sha256.New()
	if _, err := io.Copy(sum, r.Body); err != nil {
		return
	}
	x.count = p.record(r, fmt.Sprintf("%x", sum.Sum(nil)))
	if instruction := instructions[name]; instruction != nil {
		instruction(x)
		return
	}
	fmt.Fprintf(w, "%s %s", r.Method, r.URL.RequestURI())
}

// answerEarly answers with status 413 without reading the request body, and asks for the connection to be closed.
func (x *exchange) answerEarly() {
	x.Header().Set("Connection", "close")
	http.Error(x, "enough", http.StatusRequestEntityTooLarge)
}

// echo sends the request body back while it is being received.
func (x *exchange) echo() {
	x.controller.EnableFullDuplex()
	part := make([]byte, echoPart)
	for {
		n, err := x.request.Body.Read(part)
		x.Write(part[:n])
		x.controller.Flush()
		if err != nil {
			return
		}
	}
}

// status answers with the status code in the argument.
func (x *exchange) status() {
	x.Header().Set("Location", "/elsewhere")
	x.WriteHeader(x.number)
	if x.number != http.StatusNoContent && x.number != http.StatusNotModified {
		fmt.Fprintf(x, "status %d", x.number)
	}
}

// knownLength answers with a body of the given length and declares the length.
func (x *exchange) knownLength() {
	x.Header().Set("Content-Length", x.argument)
	x.Write(Pattern(x.number))
}

// unknownLength answers with a body of the given length in parts, without declaring the length.
func (x *exchange) unknownLength() {
	for left := Pattern(x.number); ; {
		n := min(len(left), unknownPart)
		x.Write(left[:n])
		x.controller.Flush()
		if left = left[n:]; len(left) == 0 {
			return
		}
	}
}

// trailer answers with a body of the given length and the trailer field X-Sum.
func (x *exchange) trailer() {
	x.Header().Set("Trailer", "X-Sum")
	x.Write(Pattern(x.number))
	x.controller.Flush()
	x.Header().Set("X-Sum", "42")
}

// fields answers with repeated header fields, and with the field X-Long, whose value has the given length.
func (x *exchange) fields() {
	x.Header()["X-Many"] = []string{"a", "b", "c, d"}
	x.Header()["Set-Cookie"] = []string{"a=1; Path=/", "b=2"}
	x.Header().Set("X-Long", strings.Repeat("v", x.number))
}

// hopByHop answers with an end-to-end header field and, over HTTP/1.1, with hop-by-hop fields.
func (x *exchange) hopByHop() {
	if x.request.ProtoMajor == 1 {
		x.Header().Set("Keep-Alive", "timeout=7")
		x.Header().Set("Proxy-Authenticate", "Basic")
	}
	x.Header().Set("X-End", "to end")
}

// event sends the first event of an event stream, and keeps the response open until the request is cancelled.
func (x *exchange) event() {
	io.WriteString(x, "data: first\n\n")
	x.controller.Flush()
	<-x.request.Context().Done()
}

// breakOff aborts the connection (HTTP/1.1) or stream (HTTP/2): with an argument, after that number of bytes of a longer
// body; without one, before the response.
func (x *exchange) breakOff() {
	if x.argument != "" {
		x.Header().Set("Content-Length", brokenLength)
		x.Write(Pattern(x.number))
		x.controller.Flush()
	}
	panic(http.ErrAbortHandler)
}

// breakOnce aborts the connection or stream if the number of completed requests is odd, and otherwise answers "second".
func (x *exchange) breakOnce() {
	if x.count%2 == 1 {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(x, "second")
}
