// The form of an endpoint list that is handed to a process at its start.

package node

import "yokestall/internal/discovery"

// endpointList is the endpoint list as a node last had it: what its configuration and a hot restart hand to it. Its
// JSON form is the protocol's.
type endpointList struct {
	Generation uint64 `json:"generation"`
	// Full reports that the list came from the discovery service, so that deltas to Generation apply to it.
	Full      bool                 `json:"reset"`
	Instances []discovery.Instance `json:"instances"`
}
