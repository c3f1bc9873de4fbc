package app

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"yokestall/internal/fake/webpeer"
	"yokestall/internal/testutil"
)

// addBrokenServers adds behaviours with servers that break the connection before they answer: which requests are retried.
func (l *behaviourList) addBrokenServers() {
	add := l.add
	add("a server that breaks before its answer: a safe request goes out again", "9110 9.2.2", func(c *cell) error {
		c.peer.Completed.Store(0)
		resp, text, err := c.exchange("GET", "/x", "break-once", nil, 0)
		if err != nil || string(text) != "second" {
			return fmt.Errorf("answer %v, body %q, error %v; want body \"second\"", resp, text, err)
		}
		return nil
	})
	add("a server that breaks before its answer: an unsafe request does not", "9110 9.2.2", func(c *cell) error {
		before := c.peer.Completed.Load()
		resp, _, err := c.exchange("POST", "/pay/x", "break", nil, 0)
		if err != nil || resp.StatusCode != 502 || c.peer.Completed.Load() != before+1 {
			return fmt.Errorf("answer %v, error %v, ran %d times; want status 502 and 1 run",
				resp, err, c.peer.Completed.Load()-before)
		}
		return nil
	})
	add("a short upload goes out again, whole", "own", func(c *cell) error {
		c.peer.Completed.Store(0)
		_, text, err := c.exchange("POST", "/x", "break-once", io.NopCloser(bytes.NewReader(webpeer.Pattern(50_000))), -1)
		_, sum := c.peer.Last()
		if err != nil || string(text) != "second" || sum != patternSum(50_000) {
			return fmt.Errorf("body %q, error %v; want body \"second\" and the complete upload at the server", text, err)
		}
		return nil
	})
	add("a long upload does not", "own", func(c *cell) error {
		c.peer.Completed.Store(0)
		resp, _, err := c.exchange("POST", "/x", "break-once", io.NopCloser(bytes.NewReader(webpeer.Pattern(500_000))), -1)
		if err != nil || resp.StatusCode != 502 || c.peer.Completed.Load() != 1 {
			return fmt.Errorf("answer %v, error %v, ran %d times; want status 502 and 1 run", resp, err, c.peer.Completed.Load())
		}
		return nil
	})
}

// addBrokenBodies adds behaviours with answers and uploads that break off within the body.
func (l *behaviourList) addBrokenBodies() {
	add := l.add
	for _, n := range []int{0, 10, 200_000} {
		add(fmt.Sprintf("an answer that breaks after %d bytes is no whole one", n), "9112 8, 9113 8.1", func(c *cell) error {
			before := c.peer.Completed.Load()
			resp, text, err := c.exchange("POST", "/pay/x", fmt.Sprintf("break %d", n), nil, 0)
			if c.peer.Completed.Load() != before+1 {
				return errors.New("the server did not run the request exactly once")
			}
			if err == nil && resp.StatusCode == 200 {
				return fmt.Errorf("the client takes a truncated answer of %d bytes for a complete one", len(text))
			}
			return nil
		})
	}
	add("a client that leaves mid-upload leaves no whole request", "9112 8", func(c *cell) error {
		ran, begun := c.peer.Completed.Load(), c.peer.Started.Load()
		from, to := io.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.exchange("POST", "/pay/x", "", from, 1<<20)
		}()
		to.Write(webpeer.Pattern(200_000))
		deadline := time.Now().Add(testutil.WaitTimeout)
		for ; c.peer.Started.Load() == begun; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				return errors.New("the upload did not reach the server within testutil.WaitTimeout")
			}
		}
		to.CloseWithError(errors.New("disconnected"))
		<-done
		if resp, _, err := c.exchange("GET", "/x", "", nil, 0); err != nil || resp.StatusCode != 200 {
			return fmt.Errorf("the next request: answer %v, error %v; want status 200", resp, err)
		}
		if c.peer.Completed.Load() != ran+1 {
			return errors.New("the server took a truncated request for a complete one")
		}
		return nil
	})
}
