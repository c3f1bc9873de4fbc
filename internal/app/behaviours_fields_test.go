package app

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"

	"yokestall/internal/fake/webpeer"
)

// addFields adds behaviours of header fields of requests and answers: which are forwarded, dropped or set.
func (l *behaviourList) addFields() {
	add := l.add
	// in is the value of a field that the client sends, out is the value that the server receives; empty: no field.
	for _, f := range []struct{ name, source, field, in, out string }{
		{"end-to-end fields pass", "9110 5", "X-Any", "value, 2", "value, 2"},
		{"a client's X-Forwarded-For is dropped", "trust", "X-Forwarded-For", "10.9.8.7", "127.0.0.1"},
		{"a client's Forwarded is dropped", "7239 8.1", "Forwarded", "for=10.9.8.7", ""},
		{"a client's X-Forwarded-Host is dropped", "trust", "X-Forwarded-Host", "evil", "book.test"},
		{"Proxy-Authorization stays here", "9110 7.6.1", "Proxy-Authorization", "Basic x", ""},
		{"the client's id is kept", "own", "X-Request-Id", "id-of-mine", "id-of-mine"},
		{"cookies pass", "6265 5.4, 9113 8.2.3", "Cookie", "a=1; b=2", "a=1; b=2"},
		{"empty fields pass", "9110 5.5", "X-Void", "", ""},
	} {
		add(f.name, f.source, func(c *cell) error {
			resp, _, err := c.exchange("GET", "/x", "", nil, 0, f.field, f.in, "Host", "book.test")
			if err != nil || resp.StatusCode != 200 {
				return fmt.Errorf("answer %v, error %v; want status 200", resp, err)
			}
			seen, _ := c.peer.Last()
			if got := seen.Header.Get(f.field); got != f.out || seen.Host != "book.test" {
				return fmt.Errorf("the server saw %q for host %q, want %q for host book.test", got, seen.Host, f.out)
			}
			return nil
		})
	}
	add("the scheme is told on", "trust", func(c *cell) error {
		c.exchange("GET", "/x", "", nil, 0)
		want := map[bool]string{false: "http", true: "https"}[c.downstream.TLS]
		if seen, _ := c.peer.Last(); seen.Header.Get("X-Forwarded-Proto") != want {
			return fmt.Errorf("the server saw the fields %v, want X-Forwarded-Proto: %s", seen.Header, want)
		}
		return nil
	})
	add("several values and cookies of an answer", "9110 5.3", func(c *cell) error {
		resp, _, err := c.exchange("GET", "/x", "fields 8000", nil, 0)
		if err != nil || !slices.Equal(resp.Header["X-Many"], []string{"a", "b", "c, d"}) ||
			len(resp.Header["Set-Cookie"]) != 2 || len(resp.Header.Get("X-Long")) != 8000 {
			return fmt.Errorf("answer %v, error %v; want 3 values of X-Many, 2 cookies, 8000 bytes of X-Long", resp, err)
		}
		return nil
	})
	add("hop-by-hop fields of an answer stay here", "9110 7.6.1", func(c *cell) error {
		resp, _, err := c.exchange("GET", "/x", "hop", nil, 0)
		if err != nil || resp.Header.Get("X-End") == "" {
			return fmt.Errorf("answer %v, error %v; want the field X-End", resp, err)
		}
		if resp.Header.Get("Keep-Alive")+resp.Header.Get("Proxy-Authenticate") != "" {
			return fmt.Errorf("answer %v, want neither Keep-Alive nor Proxy-Authenticate", resp)
		}
		return nil
	})
}

// addTrailers adds behaviours of trailers of requests and answers.
func (l *behaviourList) addTrailers() {
	add := l.add
	for _, n := range []int{3, 100_000} {
		add(fmt.Sprintf("trailers behind %d bytes", n), "9110 6.5", func(c *cell) error {
			resp, text, err := c.exchange("GET", "/x", fmt.Sprintf("trailer %d", n), nil, 0)
			if err != nil || len(text) != n || resp.Trailer.Get("X-Sum") != "42" {
				return fmt.Errorf("answer %v, %d bytes, error %v; want %d bytes and the trailer X-Sum: 42",
					resp, len(text), err, n)
			}
			return nil
		})
	}
	for _, n := range []int{3, 100_000} {
		add(fmt.Sprintf("trailers behind a request of %d bytes", n), "9110 6.5", func(c *cell) error {
			r, _ := http.NewRequest("POST", c.url+"/x", nil)
			r.ContentLength, r.Trailer = -1, http.Header{"X-Sum": nil, "Content-Range": nil}
			setTrailer := eofCallback(func() { r.Trailer.Set("X-Sum", "42") })
			r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(webpeer.Pattern(n)), setTrailer))
			resp, err := c.client.Do(r)
			if err != nil {
				return err
			}
			resp.Body.Close()
			want := patternSum(n)
			if seen, sum := c.peer.Last(); sum != want || seen.Trailer.Get("X-Sum") != "42" || len(seen.Trailer) != 1 {
				return fmt.Errorf("the server saw the trailers %v, want only X-Sum: 42, and the complete body", seen.Trailer)
			}
			return nil
		})
	}
}
