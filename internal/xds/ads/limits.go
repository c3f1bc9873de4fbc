package ads

// Limits on what a control plane can make the machine store.
const (
	MaxResources = 2000 // of a type
	MaxNameBytes = 256  // of a resource
	// maxAnsweredNonces is the number of nonces remembered of a type and stream.
	maxAnsweredNonces = 64
	// maxErrorsInNACK is the number of errors that one NACK has.
	maxErrorsInNACK = 20
	// maxErrorDetailBytes bounds a NACK's error detail.
	maxErrorDetailBytes = 4096
)
