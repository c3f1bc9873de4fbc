package node

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"

	"yokestall/internal/testutil"
)

// The node closes a connection that a client has just sent a request on, so that the client sends the request again on a new
// connection. The node must not have served the first copy too, above all if the request is not idempotent.
func TestCloseCrossesRequest(t *testing.T) {
	t.Parallel()
	const clients, requests = 24, 40 // more clients than slots, so that nearly every response is followed by a close
	c := &crossingRun{t: t, runs: map[string]int{}}
	b := testutil.NewBackend(t, testutil.OK)
	b.Config.Handler = http.HandlerFunc(c.runRequest)
	n := startSmall(t, b)
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			client := &crossingClient{crossingRun: c, gateway: newGateway(n, 1)}
			defer client.close()
			for range requests {
				if !client.send(n.request("pay")) {
					return
				}
			}
		})
	}
	all.Wait()
	for id, count := range c.runs {
		if count != 1 {
			t.Errorf("request %s ran %d times, want 1", id, count)
		}
	}
	t.Logf("%d requests, %d crossed a close", len(c.runs), c.crossed)
}

// maxCrossingAttempts limits how often a client sends a request.
const maxCrossingAttempts = 200

// crossingRun counts how often each request was run by a server, and how many requests crossed a close.
type crossingRun struct {
	t       *testing.T
	mu      sync.Mutex
	runs    map[string]int // number of runs by request ID
	crossed int
}

// runRequest is the server's handler. It counts a run.
func (c *crossingRun) runRequest(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	c.mu.Lock()
	c.runs[r.Header.Get("X-Request-ID")]++
	c.mu.Unlock()
	testutil.OK(w, r)
}

// crossingClient is a client that sends a request again if its connection ended before the response.
type crossingClient struct {
	*crossingRun
	gateway *gateway
	conn    *client // nil if no connection is open
}

// send sends a request until the request is answered, and checks that the request ran once. It returns false if there was no
// response.
func (c *crossingClient) send(r *http.Request) bool {
	body, _ := io.ReadAll(r.Body)
	for range maxCrossingAttempts {
		if c.conn == nil {
			conn, err := c.gateway.connect(testutil.WaitTimeout)
			if err != nil {
				c.t.Error(err)
				return false
			}
			c.conn = conn
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		status, last, err := c.conn.roundTrip(r)
		if last {
			c.close()
		}
		if errors.Is(err, errClosedBeforeResponse) {
			c.mu.Lock()
			c.crossed++
			c.mu.Unlock()
			continue
		}
		if err != nil {
			c.t.Errorf("request failed: %v", err)
			return false
		}
		if status == http.StatusServiceUnavailable {
			continue // the request was rejected, so that a retry is safe
		}
		c.mu.Lock()
		count := c.runs[r.Header.Get("X-Request-ID")]
		c.mu.Unlock()
		if status != http.StatusOK || count != 1 {
			c.t.Errorf("got status %d after %d runs, want 200 after 1", status, count)
		}
		return true
	}
	c.t.Error("the request got no final response in 200 attempts")
	return false
}

// close closes the open connection, if there is one.
func (c *crossingClient) close() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}
