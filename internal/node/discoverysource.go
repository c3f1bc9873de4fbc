// One address of the discovery service, and single calls to it.

package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"yokestall/internal/discovery"
)

// maxErrorBodyBytes is how much is read of the body of a response that is not 200, to keep its connection.
const maxErrorBodyBytes = 4 << 10

// discoverySource is one address of the discovery service.
type discoverySource struct {
	url    string
	client *http.Client
	stop   context.CancelFunc // ends its poll loop; set before the loop starts

	// The mutex of the endpointWatcher guards the fields below.

	// hasList reports that generation is the version of a list that this source has given, or that the process was
	// started with. A version may be 0.
	hasList    bool
	generation uint64
	// stopReplaced ends the source that this one replaces once this one has given its list. It is nil in the source
	// that is followed, and in one that was replaced before it gave a list.
	stopReplaced func()
}

// newDiscoverySource returns a source that nobody follows yet. addr is a host and port.
func newDiscoverySource(addr string, timing discovery.PollTiming) *discoverySource {
	// net/http dials beyond the end of a call. The timeout keeps connections that are never established from
	// outliving many calls, since calls are limited in number and dials are not.
	dialer := net.Dialer{Timeout: timing.HedgeTimeout, KeepAlive: -1}
	return &discoverySource{
		url:    "http://" + addr + "/registry/instances",
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
	}
}

// listRequest is what one poll asks the discovery service for.
type listRequest struct {
	full  bool   // the full list, at once; otherwise what is newer than the generation after
	after uint64 // unless full
}

// fetch makes one call. wait is how long the service may wait for something newer; it has no effect on a request of the
// full list. timeout limits all of the call.
func (s *discoverySource) fetch(
	ctx context.Context, request listRequest, wait, timeout time.Duration,
) (*discovery.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url+request.query(wait), nil)
	if err != nil {
		return nil, err
	}
	httpResponse, err := s.client.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode != http.StatusOK {
		io.CopyN(io.Discard, httpResponse.Body, maxErrorBodyBytes)
		return nil, fmt.Errorf("unexpected status %d", httpResponse.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, discovery.MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	return discovery.ParseResponse(body, request.full, time.Now())
}

// query returns the query of the URL. A wait is at least minPollWait, as the service requires one.
func (r listRequest) query(wait time.Duration) string {
	if r.full {
		return ""
	}
	waitMs := max(minPollWait, wait).Milliseconds()
	return "?after=" + strconv.FormatUint(r.after, 10) + "&wait_ms=" + strconv.FormatInt(waitMs, 10)
}
