// Package simulator reads and writes the frames of the simulator's binary protocol. It makes no decisions: it translates
// event records into the types of package policy, and the actions of a policy.Host into action records.
//
// A batch of events is one frame, and the reply to a batch is another. A frame consists of a header, records of a fixed
// size, and a tail that holds the data of variable length; records refer to the tail by offset and count. All numbers
// are big-endian; times are milliseconds in 64-bit floating point.
//
//	batch.go     reads frames of events
//	event.go     decodes event records
//	reply.go     collects actions and writes them as a frame
//	settings.go  parses an instance's settings (JSON)
//	number.go    encodes and decodes times and endpoint IDs in records
package simulator
