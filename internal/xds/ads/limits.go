package ads

// Limits on what a control plane can make the machine store.
const (
	MaxResources = 2000 // resources of one type
	MaxNameBytes = 256  // length of a resource name
	// maxAnsweredNonces bounds the answered nonces that are remembered for each type on a stream.
	maxAnsweredNonces = 64
	// maxErrorsInNACK bounds the errors that one NACK lists.
	maxErrorsInNACK = 20
	// maxErrorDetailBytes bounds the error detail of a NACK.
	maxErrorDetailBytes = 4096
)
