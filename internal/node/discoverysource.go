// This file has the client for one address of the discovery service, which makes single calls.

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

// maxErrorBodyBytes is how much of the body of a response with a status other than 200 is read, so that its connection can
// be reused.
const maxErrorBodyBytes = 4 << 10

// discoverySource is one address of the discovery service.
type discoverySource struct {
	url    string
	client *http.Client
	stop   context.CancelFunc // stops the source's poll loop; set before the loop starts

	// endpointWatcher.mu guards the fields below.

	// hasList reports that generation is the version of a list that this source has returned, or that the process was
	// started with. Version 0 is a valid version.
	hasList    bool
	generation uint64
	// stopReplaced stops the source that this source replaces. It is called when this source has returned its first
	// list, and is nil in the current source and in a source that was itself replaced before it returned a list.
	stopReplaced func()
}

// newDiscoverySource returns a source that no poll loop follows yet. addr is a host and port.
func newDiscoverySource(addr string, timing discovery.PollTiming) *discoverySource {
	// net/http continues to dial after a call has ended. Calls are limited in number and dials are not, so that dials to
	// an address that does not respond would accumulate without this timeout.
	dialer := net.Dialer{Timeout: timing.HedgeTimeout, KeepAlive: -1}
	return &discoverySource{
		url:    "http://" + addr + "/registry/instances",
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
	}
}

// listRequest says which part of the endpoint list one poll requests.
type listRequest struct {
	full  bool   // requests the full list without waiting; otherwise changes newer than the generation after
	after uint64 // ignored if full is set
}

// fetch makes one call to the discovery service. wait is how long the service may wait for a newer generation; it has no
// effect on a request for the full list. timeout limits the whole call.
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
		return nil, fmt.Errorf("discovery service returned status %d, want 200", httpResponse.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, discovery.MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	return discovery.ParseResponse(body, request.full, time.Now())
}

// query returns the URL's query, or "" for the full list. A wait below minPollWait is raised to it, since the service
// requires a wait.
func (r listRequest) query(wait time.Duration) string {
	if r.full {
		return ""
	}
	waitMs := max(minPollWait, wait).Milliseconds()
	return "?after=" + strconv.FormatUint(r.after, 10) + "&wait_ms=" + strconv.FormatInt(waitMs, 10)
}
