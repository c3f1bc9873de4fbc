package replay

import (
	"crypto/sha256"
	"fmt"
	"net/http"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/upstream/h1client"
)

// shareable reports whether an answer can be given more than once: it is complete, and neither a stream nor a
// tunnel.
func shareable(a engine.Answer) bool {
	h, ok := a.Value.(*h1client.Answer)
	return ok && a.Verdict == engine.Served && h.Stream == nil && h.Tunnel == nil
}

// clone copies a shareable answer with a header of its own.
func clone(a engine.Answer) engine.Answer {
	h := *a.Value.(*h1client.Answer)
	if h.Header = h.Header.Clone(); h.Header == nil {
		h.Header = http.Header{}
	}
	a.Value = &h
	return a
}

// replayed copies a shareable answer and marks it as made for an earlier request.
func replayed(a engine.Answer) engine.Answer {
	a = clone(a)
	a.Value.(*h1client.Answer).Header.Set(ReplayedHeader, "true")
	return a
}

// AnswerBytes is what a cached answer takes, in bytes.
func AnswerBytes(a *h1client.Answer) int64 {
	size := int64(len(a.Body))
	for _, fields := range []http.Header{a.Header, a.Trailer} {
		for name, values := range fields {
			for _, v := range values {
				size += int64(len(name) + len(v))
			}
		}
	}
	return size
}

// Fingerprint tells requests under one key apart. It is a part of a SHA-256 digest, since whoever chooses keys
// and bodies could choose collisions of a weaker hash.
func Fingerprint(class int, method, target, host string, body []byte) (f idempotency.Fingerprint) {
	h := sha256.New()
	for _, part := range []string{method, target, host} { // with lengths, so that no two lists are alike
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	fmt.Fprintf(h, "%d:", class)
	h.Write(body)
	copy(f[:], h.Sum(nil))
	return f
}
