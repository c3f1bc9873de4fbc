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

// addBrokenServers adds servers that break before they answer, and the retry after it.
func (l *behaviourList) addBrokenServers() {
	add := l.add
	add("a server that breaks before its answer: a safe request goes out again", "9110 9.2.2", func(c *cell) error {
		c.peer.Completed.Store(0)
		resp, text, err := c.exchange("GET", "/x", "break-once", nil, 0)
		if err != nil || string(text) != "second" {
			return fmt.Errorf("%v, %q, %v", resp, text, err)
		}
		return nil
	})
	add("a server that breaks before its answer: an unsafe request does not", "9110 9.2.2", func(c *cell) error {
		before := c.peer.Completed.Load()
		resp, _, err := c.exchange("POST", "/pay/x", "break", nil, 0)
		if err != nil || resp.StatusCode != 502 || c.peer.Completed.Load() != before+1 {
			return fmt.Errorf("%v, %v, ran %d times", resp, err, c.peer.Completed.Load()-before)
		}
		return nil
	})
	add("a short upload goes out again, whole", "own", func(c *cell) error {
		c.peer.Completed.Store(0)
		_, text, err := c.exchange("POST", "/x", "break-once", io.NopCloser(bytes.NewReader(webpeer.Pattern(50_000))), -1)
		_, sum := c.peer.Last()
		if err != nil || string(text) != "second" || sum != patternSum(50_000) {
			return fmt.Errorf("%q, %v", text, err)
		}
		return nil
	})
	add("a long upload does not", "own", func(c *cell) error {
		c.peer.Completed.Store(0)
		resp, _, err := c.exchange("POST", "/x", "break-once", io.NopCloser(bytes.NewReader(webpeer.Pattern(500_000))), -1)
		if err != nil || resp.StatusCode != 502 || c.peer.Completed.Load() != 1 {
			return fmt.Errorf("%v, %v, ran %d times", resp, err, c.peer.Completed.Load())
		}
		return nil
	})
}

// addBrokenBodies adds bodies that break off.
func (l *behaviourList) addBrokenBodies() {
	add := l.add
	for _, n := range []int{0, 10, 200_000} {
		add(fmt.Sprintf("an answer that breaks after %d bytes is no whole one", n), "9112 8, 9113 8.1", func(c *cell) error {
			before := c.peer.Completed.Load()
			resp, text, err := c.exchange("POST", "/pay/x", fmt.Sprintf("break %d", n), nil, 0)
			if c.peer.Completed.Load() != before+1 {
				return errors.New("not one execution")
			}
			if err == nil && resp.StatusCode == 200 {
				return fmt.Errorf("%d bytes pass for a complete answer", len(text))
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
				return errors.New("the server never saw the upload begin")
			}
		}
		to.CloseWithError(errors.New("disconnected"))
		<-done
		if resp, _, err := c.exchange("GET", "/x", "", nil, 0); err != nil || resp.StatusCode != 200 {
			return fmt.Errorf("the next request: %v, %v", resp, err)
		}
		if c.peer.Completed.Load() != ran+1 {
			return errors.New("the server took a part for a complete request")
		}
		return nil
	})
}
