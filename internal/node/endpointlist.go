// This file has the form of the endpoint list that a process is started with.

package node

import "yokestall/internal/discovery"

// endpointList is the last endpoint list that a node had. The configuration, or the predecessor in a hot restart, passes it
// to a process at its start. Its JSON form is that of the discovery protocol.
type endpointList struct {
	Generation uint64 `json:"generation"`
	// Full reports that the process had a list to continue from: one that the discovery service returned, or an initial
	// list with instances. Only the snapshot for a successor uses it; its value in a configuration file is ignored.
	Full      bool                 `json:"reset"`
	Instances []discovery.Instance `json:"instances"`
}
