package app

import (
	"strings"
	"testing"

	"yokestall/internal/testutil"
)

// A request without any header fields of the client's own is served, and the load balancer gives it a request id.
func TestPlainRequest(t *testing.T) {
	b := testutil.StartAppServer(t, "box-1")
	s := serve(t, newConfiguration(parse(t, program), roomsCluster(endpointOf(b))))
	status, _, body := s.get("/hotels", "")
	if status != 200 || !strings.HasPrefix(body, "box-1 served ") {
		t.Errorf("status %d, body %q; want 200 and an answer of box-1", status, body)
	}
	if seen, _ := b.Seen(); len(seen) != 1 || seen[0].ID == "" {
		t.Errorf("the box saw %+v, want one request with an id", seen)
	}
}
