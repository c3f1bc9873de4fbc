package ads

import "google.golang.org/protobuf/types/known/anypb"

// Variant is a variant of the ADS protocol.
type Variant int

// The variants of the protocol, each with its RPC.
const (
	StateOfTheWorld Variant = iota // StreamAggregatedResources
	Incremental                    // DeltaAggregatedResources
)

// Resource is a resource in a response. Name and Version are set in the incremental variant only.
type Resource struct {
	Name, Version string
	Body          *anypb.Any
}

// Response is a DiscoveryResponse or a DeltaDiscoveryResponse.
type Response struct {
	URL, Version, Nonce string
	Resources           []Resource
	Removed             []string // names; incremental only
}

// Request is a DiscoveryRequest or a DeltaDiscoveryRequest.
type Request struct {
	Type  Type
	Nonce string
	// ErrorDetail is the error text of a NACK; "" in an ACK and in a request that answers no response.
	ErrorDetail string

	// The fields Version and Names are used in the state-of-the-world variant only.

	Version string
	Names   []string // resource names; nil for all resources of the type

	// The fields below are used in the incremental variant only.

	Subscribe, Unsubscribe []string
	InitialVersions        map[string]string // versions of known resources, by resource name
}

// Decode decodes a resource into its name and the value for ValidResource.Value. If the resource is invalid, Decode
// returns an error, and also the name if it could be read.
type Decode func(t Type, body *anypb.Any) (name string, value any, err error)

// ValidResource is a resource that was accepted.
type ValidResource struct {
	Name, Version string
	Value         any        // returned by Decode
	Body          *anypb.Any // as received
}

// Update lists the changes that a response or a timeout has made to the resources of one type.
type Update struct {
	Type     Type
	Accepted []ValidResource
	Removed  []string
	// Missing are the names of requested resources that the control plane does not have: they have not come within
	// Options.MissingTimeout, or a response that lists all resources of the type lacks them.
	Missing []string
}

// Empty reports whether the update has no changes.
func (u *Update) Empty() bool { return len(u.Accepted)+len(u.Removed)+len(u.Missing) == 0 }
