package ads

import "google.golang.org/protobuf/types/known/anypb"

// Variant is the variant of the protocol.
type Variant int

// The variants.
const (
	StateOfTheWorld Variant = iota // StreamAggregatedResources
	Incremental                    // DeltaAggregatedResources
)

// Resource is a resource of a response. Name and Version are set in the incremental variant only.
type Resource struct {
	Name, Version string
	Body          *anypb.Any
}

// Response is a DiscoveryResponse or a DeltaDiscoveryResponse.
type Response struct {
	URL, Version, Nonce string
	Resources           []Resource
	Removed             []string // incremental only
}

// Request is a DiscoveryRequest or a DeltaDiscoveryRequest.
type Request struct {
	Type  Type
	Nonce string
	// ErrorDetail is a NACK's text; "" in an ACK and in a request that answers no response.
	ErrorDetail string

	// State of the world only.

	Version string
	Names   []string // nil for all

	// Incremental only.

	Subscribe, Unsubscribe []string
	InitialVersions        map[string]string // by resource name
}

// Decode decodes a resource into its name and the value that Update passes on. It returns the name with an error too,
// as far as there is one.
type Decode func(t Type, body *anypb.Any) (name string, value any, err error)

// ValidResource is a resource that was accepted.
type ValidResource struct {
	Name, Version string
	Value         any        // by Decode
	Body          *anypb.Any // as received
}

// Update is what a response, or a timeout, has changed.
type Update struct {
	Type     Type
	Accepted []ValidResource
	Removed  []string
	// Missing are names that are subscribed to and, after Options.MissingTimeout, do not exist for the control plane.
	Missing []string
}

// Empty reports whether nothing changed.
func (u *Update) Empty() bool { return len(u.Accepted)+len(u.Removed)+len(u.Missing) == 0 }
