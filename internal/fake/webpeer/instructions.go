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
	// echoPart is how many bytes of a body are returned at a time.
	echoPart = 4 << 10

	// unknownPart is how many bytes of an answer of unknown length are sent at a time.
	unknownPart = 10_000

	// brokenLength is the declared length of an answer that breaks off.
	brokenLength = "1000000"
)

// exchange is a request with its instruction, the text "NAME ARGUMENT" of its X-Do field.
type exchange struct {
	http.ResponseWriter
	request  *http.Request
	control  *http.ResponseController
	argument string
	number   int   // argument as a number; 0 if it is none
	count    int64 // of completed requests, with this one
}

// instructions are those that are carried out once the request's body was read.
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

// ServeHTTP implements http.Handler. Without a known instruction it answers with the method and the request's target.
func (p *Peer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.Started.Add(1)
	name, argument, _ := strings.Cut(r.Header.Get("X-Do"), " ")
	x := &exchange{ResponseWriter: w, request: r, control: http.NewResponseController(w), argument: argument}
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
	if carryOut := instructions[name]; carryOut != nil {
		carryOut(x)
		return
	}
	fmt.Fprintf(w, "%s %s", r.Method, r.URL.RequestURI())
}

// answerEarly answers before the body was read, and closes the connection.
func (x *exchange) answerEarly() {
	x.Header().Set("Connection", "close")
	http.Error(x, "enough", http.StatusRequestEntityTooLarge)
}

// echo returns the body while it is received.
func (x *exchange) echo() {
	x.control.EnableFullDuplex()
	part := make([]byte, echoPart)
	for {
		n, err := x.request.Body.Read(part)
		x.Write(part[:n])
		x.control.Flush()
		if err != nil {
			return
		}
	}
}

// status answers with a status.
func (x *exchange) status() {
	x.Header().Set("Location", "/elsewhere")
	x.WriteHeader(x.number)
	if x.number != http.StatusNoContent && x.number != http.StatusNotModified {
		fmt.Fprintf(x, "status %d", x.number)
	}
}

// knownLength answers with a number of bytes that is declared.
func (x *exchange) knownLength() {
	x.Header().Set("Content-Length", x.argument)
	x.Write(Pattern(x.number))
}

// unknownLength answers with a number of bytes that is not declared, in parts.
func (x *exchange) unknownLength() {
	for left := Pattern(x.number); ; {
		n := min(len(left), unknownPart)
		x.Write(left[:n])
		x.control.Flush()
		if left = left[n:]; len(left) == 0 {
			return
		}
	}
}

// trailer answers with a number of bytes and a trailer.
func (x *exchange) trailer() {
	x.Header().Set("Trailer", "X-Sum")
	x.Write(Pattern(x.number))
	x.control.Flush()
	x.Header().Set("X-Sum", "42")
}

// fields answers with fields that stand several times, and one with a value of a number of bytes.
func (x *exchange) fields() {
	x.Header()["X-Many"] = []string{"a", "b", "c, d"}
	x.Header()["Set-Cookie"] = []string{"a=1; Path=/", "b=2"}
	x.Header().Set("X-Long", strings.Repeat("v", x.number))
}

// hopByHop answers with a field for the client and, over HTTP/1.1, hop-by-hop fields.
func (x *exchange) hopByHop() {
	if x.request.ProtoMajor == 1 {
		x.Header().Set("Keep-Alive", "timeout=7")
		x.Header().Set("Proxy-Authenticate", "Basic")
	}
	x.Header().Set("X-End", "to end")
}

// event answers with the first event of a stream that ends with the request.
func (x *exchange) event() {
	io.WriteString(x, "data: first\n\n")
	x.control.Flush()
	<-x.request.Context().Done()
}

// breakOff breaks the connection or stream off: with an argument after that number of bytes of a longer body, else
// before the answer.
func (x *exchange) breakOff() {
	if x.argument != "" {
		x.Header().Set("Content-Length", brokenLength)
		x.Write(Pattern(x.number))
		x.control.Flush()
	}
	panic(http.ErrAbortHandler)
}

// breakOnce breaks the connection or stream off for every other request.
func (x *exchange) breakOnce() {
	if x.count%2 == 1 {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(x, "second")
}
