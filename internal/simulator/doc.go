// Package simulator reads and writes the frames of the simulator's binary protocol. It decides nothing: it translates
// event records into the types of package policy, and the actions of a policy.Host into records.
//
// A batch of events is one frame, and so is the reply to it. A frame is a header, records of a fixed size, and a tail
// with the data of variable length, to which records refer by offset and count. All numbers are big-endian; times are
// milliseconds in 64-bit floating point.
//
//	batch.go     reads frames of events
//	event.go     decodes event records
//	reply.go     collects actions and writes them as a frame
//	settings.go  parses an instance's settings (JSON)
//	number.go    times and endpoint IDs in records
package simulator
