package app

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"yokestall/internal/fake/webpeer"
)

// addStreams adds behaviours while a request or an answer is incomplete.
func (l *behaviourList) addStreams() {
	add := l.add
	add("a stream that takes nothing holds up no other", "9113 5.2", func(c *cell) error {
		r, _ := http.NewRequest("GET", c.url+"/x", nil)
		r.Header.Set("X-Do", "known 50000000")
		resp, err := c.client.Do(r)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		for range 3 {
			resp, text, err := c.exchange("GET", "/x", "known 100000", nil, 0)
			if err != nil || resp.StatusCode != 200 || len(text) != 100_000 {
				return fmt.Errorf("answer %v, %d bytes, error %v; want status 200 and 100000 bytes", resp, len(text), err)
			}
		}
		return nil
	})
	add("an event goes out while the stream is open", "HTML 9.2", func(c *cell) error {
		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		r, _ := http.NewRequestWithContext(ctx, "GET", c.url+"/x", nil)
		r.Header.Set("X-Do", "event")
		resp, err := c.client.Do(r)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		first := make([]byte, len("data: first\n\n"))
		_, err = io.ReadFull(resp.Body, first)
		return err
	})
	add("100 Continue comes before the body", "9110 10.1.1", func(c *cell) error {
		continued := false
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
				continued = continued || code == http.StatusContinue
				return nil
			},
		})
		r, _ := http.NewRequestWithContext(ctx, "POST", c.url+"/x", bytes.NewReader(webpeer.Pattern(100)))
		r.Header.Set("Expect", "100-continue")
		resp, err := c.client.Do(r)
		if err != nil {
			return err
		}
		resp.Body.Close()
		if resp.StatusCode != 200 || !continued {
			return fmt.Errorf("status %d, 100 Continue received: %v; want 200, true", resp.StatusCode, continued)
		}
		return nil
	})
}

// addEarlyAnswers adds behaviours of answers that are sent before the end of the request.
func (l *behaviourList) addEarlyAnswers() {
	add := l.add
	add("a body over the listener's bound is 413", "9110 15.5.14", func(c *cell) error {
		before := c.peer.Completed.Load()
		resp, _, err := c.exchange("POST", "/pay/x", "", io.NopCloser(io.LimitReader(zeros{}, 17<<20)), -1)
		if err == nil && resp.StatusCode != 413 {
			return fmt.Errorf("status %d, want 413", resp.StatusCode)
		}
		if c.peer.Completed.Load() != before {
			return errors.New("the server took a truncated request for a complete one")
		}
		return nil
	})
	add("an answer before the request's end", "9110 7.5", func(c *cell) error {
		resp, _, err := c.exchange("POST", "/pay/x", "early", io.NopCloser(io.LimitReader(zeros{}, 8<<20)), -1)
		// 502 is allowed, since a server that resets the connection may destroy its own answer.
		if err == nil && resp.StatusCode != 413 && resp.StatusCode != 502 {
			return fmt.Errorf("status %d, want 413 or 502", resp.StatusCode)
		}
		return nil
	})
}

// addDuplex adds a behaviour of a request and an answer that are sent at the same time.
func (l *behaviourList) addDuplex() {
	add := l.add
	add("both ways at once", "9110 7.5, 9113 5", func(c *cell) error {
		from, to := io.Pipe()
		r, _ := http.NewRequest("POST", c.url+"/x", from)
		r.Header.Set("X-Do", "echo")
		type result struct {
			resp *http.Response
			err  error
		}
		got := make(chan result, 1)
		go func() {
			resp, err := c.client.Do(r)
			got <- result{resp, err}
		}()
		to.Write([]byte("ping"))
		g := <-got
		if g.err != nil {
			return g.err
		}
		defer g.resp.Body.Close()
		for _, message := range []string{"ping", "pong", "peng"} {
			if message != "ping" {
				to.Write([]byte(message))
			}
			echo := make([]byte, len(message))
			if _, err := io.ReadFull(g.resp.Body, echo); err != nil || string(echo) != message {
				return fmt.Errorf("echo %q, error %v; want %q", echo, err, message)
			}
		}
		to.Close()
		rest, err := io.ReadAll(g.resp.Body)
		if err != nil || len(rest) > 0 {
			return fmt.Errorf("after the end of the request: %q, error %v; want the end of the answer", rest, err)
		}
		return nil
	})
}
