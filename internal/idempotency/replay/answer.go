package replay

import (
	"crypto/sha256"
	"fmt"
	"net/http"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/upstream/h1client"
)

// shareable reports whether an answer can be returned for more than one request: it was served, its body is complete, and
// it is neither a stream nor a tunnel.
func shareable(a engine.Answer) bool {
	h, ok := a.Value.(*h1client.Answer)
	return ok && a.Verdict == engine.Served && h.Stream == nil && h.Tunnel == nil
}

// clone returns a copy of a shareable answer that has its own Header.
func clone(a engine.Answer) engine.Answer {
	h := *a.Value.(*h1client.Answer)
	if h.Header = h.Header.Clone(); h.Header == nil {
		h.Header = http.Header{}
	}
	a.Value = &h
	return a
}

// cloneAsReplay returns a copy of a shareable answer with ReplayedHeader set.
func cloneAsReplay(a engine.Answer) engine.Answer {
	a = clone(a)
	a.Value.(*h1client.Answer).Header.Set(ReplayedHeader, "true")
	return a
}

// AnswerBytes returns the size of an answer as it counts against the limits of the cache: the bytes of its body, header and
// trailer.
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

// Fingerprint returns a digest by which different requests under one key are distinguished. It is a prefix of a SHA-256
// digest, because a client that chooses keys and bodies could construct collisions of a weaker hash.
func Fingerprint(class int, method, target, host string, body []byte) (f idempotency.Fingerprint) {
	h := sha256.New()
	for _, field := range []string{method, target, host} { // the lengths make the encoding unambiguous
		fmt.Fprintf(h, "%d:%s", len(field), field)
	}
	fmt.Fprintf(h, "%d:", class)
	h.Write(body)
	copy(f[:], h.Sum(nil))
	return f
}
