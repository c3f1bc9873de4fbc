// From a response to the policy and the upstream clients: which source's responses count, when the full list is
// requested, and the form of the updates.

package node

import (
	"math/rand/v2"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// endpointSink receives the endpoint list.
type endpointSink interface {
	// UpdateAddresses gives the upstream clients the addresses: of all endpoints, or of the changed ones.
	UpdateAddresses(full bool, endpoints []h1client.Endpoint)
	// UpdateEndpoints gives the policy the endpoints, or reports a failed poll to it. It is false if the policy no
	// longer runs.
	UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint) bool
}

// applyResponse takes a response into the list and publishes it. It reports false, and leaves the list, if the source
// is no longer followed.
//
// An incomplete response has the full list requested after a delay. Long polls go on until then, since a line may stay
// unusable for good.
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
	if !w.published && len(w.initialList) > 0 { // the response may be a delta to it
		w.publishInitialList()
	}
	w.scheduleResync(response, resyncDelay)
	w.publishResponse(response)
	w.markInitialized()
	return true
}

// makeCurrent makes a source that has given a list the current one and ends the one that it replaces. It reports false
// if the source was replaced itself. mu is locked.
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

// scheduleResync sets when the full list is requested. A complete delta leaves that as it is. mu is locked.
func (w *endpointWatcher) scheduleResync(response *discovery.Response, delay time.Duration) {
	switch {
	case response.Incomplete != nil:
		w.resyncAt = time.Now().Add(delay)
	case response.Full:
		w.resyncBackoff.Reset()
		w.resyncAt = time.Time{}
	}
}

// minResyncInterval returns the shortest delay until the full list may be requested at the price of lists.
func (w *endpointWatcher) minResyncInterval() time.Duration {
	if w.listPrice <= 0 || w.requestCount == nil {
		return 0
	}
	requestsPerSecond := float64(w.requestCount()) / max(time.Since(w.countingSince).Seconds(), 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	return discovery.ResyncInterval(w.listPrice, w.list.Len(), requestsPerSecond, maxResyncDelay)
}

// publishInitialList publishes the list that the process was started with. mu is locked.
func (w *endpointWatcher) publishInitialList() {
	initial := &discovery.Response{Full: true, Instances: w.initialList}
	w.publish(policy.CachedUpdate, w.list.Apply(initial))
}

// publishResponse takes a response into the list and publishes what changed. mu is locked.
func (w *endpointWatcher) publishResponse(response *discovery.Response) {
	instances := w.list.Apply(response)
	switch {
	case response.Full:
		w.publish(policy.FullUpdate, instances)
	case len(instances) > 0:
		w.publish(policy.DeltaUpdate, instances)
	}
}

// publish passes instances on to sink, with the administrative state laid over them. mu is locked.
func (w *endpointWatcher) publish(kind policy.UpdateKind, instances []discovery.Instance) {
	instances = w.admin.Overlay(instances)
	addresses := make([]h1client.Endpoint, 0, len(instances))
	endpoints := make([]policy.Endpoint, 0, len(instances))
	for i := range instances {
		addresses = append(addresses, upstreamEndpoint(&instances[i]))
		endpoints = append(endpoints, w.policyEndpoint(&instances[i]))
	}
	w.sink.UpdateAddresses(kind != policy.DeltaUpdate, addresses) // before the policy can choose any of them
	w.sink.UpdateEndpoints(kind, endpoints)
	if onFirstUpdate := w.onFirstUpdate; onFirstUpdate != nil {
		w.onFirstUpdate = nil
		onFirstUpdate()
	}
	w.published = true
}

// upstreamEndpoint returns an instance as the upstream clients see it.
func upstreamEndpoint(instance *discovery.Instance) h1client.Endpoint {
	return h1client.Endpoint{
		ID:          instance.ID(),
		Address:     instance.HostPort,
		Incarnation: instance.StartedAtMs,
		Removed:     instance.State() == policy.Removed,
	}
}

// policyEndpoint returns an instance as the policy sees it. All zones that the settings do not name are one.
func (w *endpointWatcher) policyEndpoint(instance *discovery.Instance) policy.Endpoint {
	zone, named := w.zoneIndex[instance.Zone]
	if !named {
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

// clockTime returns wall time, in Unix milliseconds, on the node's clock; 0, which means long ago, stays 0.
func (w *endpointWatcher) clockTime(unixMs float64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return w.clock.At(time.UnixMilli(int64(unixMs)))
}

// isCurrent reports whether the list is that of the given source.
func (w *endpointWatcher) isCurrent(source *discoverySource) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.source == source
}

// hasReadyEndpoint reports whether the list has an endpoint that may get new requests.
func (w *endpointWatcher) hasReadyEndpoint() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list.HasReady()
}

// currentList returns the list as a later process starts from it.
func (w *endpointWatcher) currentList() endpointList {
	w.mu.Lock()
	defer w.mu.Unlock()
	return endpointList{Generation: w.source.generation, Full: w.source.hasList, Instances: w.list.Instances()}
}
