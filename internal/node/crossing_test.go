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
	var mu sync.Mutex
	ran := map[string]int{}
	b := testutil.NewBackend(t, testutil.OK)
	b.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		mu.Lock()
		ran[r.Header.Get("X-Request-ID")]++
		mu.Unlock()
		testutil.OK(w, r)
	})
	n := startSmall(t, b)
	const clients, requests = 24, 40 // more than there are slots: nearly each response is followed by a close
	crossed := 0
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			var c *client
			g := newGateway(n, 1)
			for range requests {
				r := n.request("pay")
				body, _ := io.ReadAll(r.Body)
				for tries := 0; ; tries++ {
					if tries == 200 {
						t.Error("200 tries were not enough")
						return
					}
					if c == nil {
						var err error
						if c, err = g.connect(testutil.Patience); err != nil {
							t.Error(err)
							return
						}
					}
					r.Body = io.NopCloser(bytes.NewReader(body))
					status, last, err := c.ask(r)
					if last {
						c.close()
						c = nil
					}
					if errors.Is(err, errCrossed) {
						mu.Lock()
						crossed++
						mu.Unlock()
						continue
					}
					if err != nil {
						t.Errorf("%v", err)
						return
					}
					if status == http.StatusServiceUnavailable {
						continue // rejected: a retry is safe
					}
					mu.Lock()
					times := ran[r.Header.Get("X-Request-ID")]
					mu.Unlock()
					if status != http.StatusOK || times != 1 {
						t.Errorf("status %d, ran %d times", status, times)
					}
					break
				}
			}
			if c != nil {
				c.close()
			}
		})
	}
	all.Wait()
	for id, times := range ran {
		if times != 1 {
			t.Errorf("%s ran %d times", id, times)
		}
	}
	t.Logf("%d requests, %d crossed a close", len(ran), crossed)
}
