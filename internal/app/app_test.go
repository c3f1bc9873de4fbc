package app

import (
	"strings"
	"testing"

	"yokestall/internal/testutil"
)

// A request with nothing but a path is served: the front gives it an id.
func TestPlainRequest(t *testing.T) {
	b := testutil.StartAppServer(t, "box-1")
	s := serve(t, snapshot(parse(t, program), rooms(endpointOf(b))))
	status, _, body := s.get("/hotels", "")
	if status != 200 || !strings.HasPrefix(body, "box-1 served ") {
		t.Errorf("status %d, body %q", status, body)
	}
	if seen, _ := b.Seen(); len(seen) != 1 || seen[0].ID == "" {
		t.Errorf("the box saw %+v", seen)
	}
}
