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

// A close that crosses a request: the client sends it again on a new connection. The node
// must not have served the first one too, least of all if it is not idempotent.
func TestCloseCrossesRequest(t *testing.T) {
	t.Parallel()
	const clients, requests = 24, 40 // more than there are slots: nearly each response is followed by a close
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
	for id, times := range c.runs {
		if times != 1 {
			t.Errorf("%s ran %d times", id, times)
		}
	}
	t.Logf("%d requests, %d crossed a close", len(c.runs), c.crossed)
}

// maxCrossingTries is how often a client sends a request at most.
const maxCrossingTries = 200

// crossingRun counts the runs of requests, and closes that crossed one.
type crossingRun struct {
	t       *testing.T
	mu      sync.Mutex
	runs    map[string]int // by id
	crossed int
}

// runRequest is the server's handler.
func (c *crossingRun) runRequest(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	c.mu.Lock()
	c.runs[r.Header.Get("X-Request-ID")]++
	c.mu.Unlock()
	testutil.OK(w, r)
}

// crossingClient is a client that sends a request again where its connection ended before the response.
type crossingClient struct {
	*crossingRun
	gateway *gateway
	conn    *client // nil: none is open
}

// send sends a request until it is answered, and checks that it ran once. It returns false where that failed.
func (c *crossingClient) send(r *http.Request) bool {
	body, _ := io.ReadAll(r.Body)
	for range maxCrossingTries {
		if c.conn == nil {
			conn, err := c.gateway.connect(testutil.WaitTimeout)
			if err != nil {
				c.t.Error(err)
				return false
			}
			c.conn = conn
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		status, last, err := c.conn.ask(r)
		if last {
			c.close()
		}
		if errors.Is(err, errCrossed) {
			c.mu.Lock()
			c.crossed++
			c.mu.Unlock()
			continue
		}
		if err != nil {
			c.t.Errorf("%v", err)
			return false
		}
		if status == http.StatusServiceUnavailable {
			continue // rejected: a retry is safe
		}
		c.mu.Lock()
		times := c.runs[r.Header.Get("X-Request-ID")]
		c.mu.Unlock()
		if status != http.StatusOK || times != 1 {
			c.t.Errorf("status %d, ran %d times", status, times)
		}
		return true
	}
	c.t.Error("200 tries were not enough")
	return false
}

// close closes the open connection, if there is one.
func (c *crossingClient) close() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}
