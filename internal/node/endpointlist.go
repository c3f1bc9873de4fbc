// This file has the form of the endpoint list that a process is started with.

package node

import "yokestall/internal/discovery"

// endpointList is the last endpoint list that a node had. The configuration, or the predecessor in a hot restart, passes it
// to a process at its start. Its JSON form is that of the discovery protocol.
type endpointList struct {
	Generation uint64 `json:"generation"`
	// Full reports that the list came from the discovery service, so that a delta update to Generation applies to it.
	Full      bool                 `json:"reset"`
	Instances []discovery.Instance `json:"instances"`
}
