// This file passes responses of the discovery service on to the policy and the upstream clients. It decides which source's
// responses are used and when the full list is requested, and converts the instances.

package node

import (
	"math/rand/v2"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// endpointSink receives updates of the endpoint list.
type endpointSink interface {
	// UpdateAddresses passes addresses to the upstream clients: those of all endpoints if full is set, and otherwise
	// those of the changed endpoints.
	UpdateAddresses(full bool, endpoints []h1client.Endpoint)
	// UpdateEndpoints passes an endpoint update to the policy, or notifies the policy of a failed poll. It returns false
	// if the policy no longer runs.
	UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint) bool
}

// applyResponse applies a response to the list and publishes the result. If the source is no longer followed, it returns
// false and leaves the list unchanged.
//
// After an incomplete response the full list is requested with a delay. The delay grows, since an entry of the list may stay
// unusable and each full list would be incomplete too. Long polls continue meanwhile.
func (w *endpointWatcher) applyResponse(source *discoverySource, response *discovery.Response) (followed bool) {
	var resyncDelay time.Duration
	if response.Incomplete != nil {
		resyncDelay = max(w.resyncBackoff.Next(rand.Float64()), w.minResyncInterval())
		w.log.Warn("endpoint list incomplete, requesting a full list",
			"err", response.Incomplete, "retry_in_ms", resyncDelay.Milliseconds())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.makeCurrent(source) {
		return false
	}
	source.hasList, source.generation = true, response.Generation
	if !w.published && len(w.initialList) > 0 { // the response may be a delta to the initial list
		w.publishInitialList()
	}
	w.scheduleResync(response, resyncDelay)
	w.publishResponse(response)
	w.markInitialized()
	return true
}

// makeCurrent makes a source that has returned a list the current one and stops the source that it replaces. It returns
// false if the given source was itself replaced. w.mu is held.
func (w *endpointWatcher) makeCurrent(source *discoverySource) bool {
	if w.source != source {
		if source.stopReplaced == nil {
			return false
		}
		source.stopReplaced()
		w.source = source
	}
	source.stopReplaced = nil
	return true
}

// scheduleResync updates resyncAt: an incomplete response sets it, and a complete full list clears it. A complete delta
// leaves it unchanged. w.mu is held.
func (w *endpointWatcher) scheduleResync(response *discovery.Response, delay time.Duration) {
	switch {
	case response.Incomplete != nil:
		w.resyncAt = time.Now().Add(delay)
	case response.Full:
		w.resyncBackoff.Reset()
		w.resyncAt = time.Time{}
	}
}

// minResyncInterval returns the shortest delay after which the full list may be requested, given the cost of polling lists
// and the node's rate of requests.
func (w *endpointWatcher) minResyncInterval() time.Duration {
	if w.listPrice <= 0 || w.requestCount == nil {
		return 0
	}
	requestsPerSecond := float64(w.requestCount()) / max(time.Since(w.countingSince).Seconds(), 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	return discovery.ResyncInterval(w.listPrice, w.list.Len(), requestsPerSecond, maxResyncDelay)
}

// publishInitialList publishes the list that the process was started with. w.mu is held.
func (w *endpointWatcher) publishInitialList() {
	initial := &discovery.Response{Full: true, Instances: w.initialList}
	w.publish(policy.CachedUpdate, w.list.Apply(initial))
}

// publishResponse applies a response to the list and publishes the full list or the changed instances. w.mu is held.
func (w *endpointWatcher) publishResponse(response *discovery.Response) {
	instances := w.list.Apply(response)
	switch {
	case response.Full:
		w.publish(policy.FullUpdate, instances)
	case len(instances) > 0:
		w.publish(policy.DeltaUpdate, instances)
	}
}

// publish passes instances on to sink, after applying the administrative state to them. w.mu is held.
func (w *endpointWatcher) publish(kind policy.UpdateKind, instances []discovery.Instance) {
	instances = w.admin.Overlay(instances)
	addresses := make([]h1client.Endpoint, 0, len(instances))
	endpoints := make([]policy.Endpoint, 0, len(instances))
	for i := range instances {
		addresses = append(addresses, upstreamEndpoint(&instances[i]))
		endpoints = append(endpoints, w.policyEndpoint(&instances[i]))
	}
	w.sink.UpdateAddresses(kind != policy.DeltaUpdate, addresses) // before the policy can select any of the endpoints
	w.sink.UpdateEndpoints(kind, endpoints)
	if onFirstUpdate := w.onFirstUpdate; onFirstUpdate != nil {
		w.onFirstUpdate = nil
		onFirstUpdate()
	}
	w.published = true
}

// upstreamEndpoint converts an instance to the form of the upstream clients.
func upstreamEndpoint(instance *discovery.Instance) h1client.Endpoint {
	return h1client.Endpoint{
		ID:          instance.ID(),
		Address:     instance.HostPort,
		Incarnation: instance.StartedAtMs,
		Removed:     instance.State() == policy.Removed,
	}
}

// policyEndpoint converts an instance to the form of the policy. All zones that the settings do not name count as one zone.
func (w *endpointWatcher) policyEndpoint(instance *discovery.Instance) policy.Endpoint {
	zone, known := w.zoneIndex[instance.Zone]
	if !known {
		zone = len(w.zoneIndex)
	}
	return policy.Endpoint{
		ID:        instance.ID(),
		Zone:      zone,
		Cell:      instance.Cell,
		State:     instance.State(),
		Weight:    instance.Weight,
		StartedAt: w.clockTime(instance.StartedAtMs),
	}
}

// clockTime converts Unix milliseconds to a time on the node's clock. It returns 0, which stands for long ago, if unixMs is
// 0 or less.
func (w *endpointWatcher) clockTime(unixMs float64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return w.clock.At(time.UnixMilli(int64(unixMs)))
}

// isCurrent reports whether the given source is the current one, whose responses are in the list.
func (w *endpointWatcher) isCurrent(source *discoverySource) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.source == source
}

// hasReadyEndpoint reports whether the list has an endpoint to which new requests may be sent.
func (w *endpointWatcher) hasReadyEndpoint() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list.HasReady()
}

// currentList returns the list in the form that a successor starts from.
func (w *endpointWatcher) currentList() endpointList {
	w.mu.Lock()
	defer w.mu.Unlock()
	return endpointList{Generation: w.source.generation, Full: w.source.hasList, Instances: w.list.Instances()}
}
