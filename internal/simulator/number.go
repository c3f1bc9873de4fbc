package simulator

import (
	"encoding/binary"
	"math"
	"time"

	"yokestall/policy"
)

// maxMilliseconds bounds the times that are accepted: a sum of a few of them still is a time.Duration.
const maxMilliseconds = float64(math.MaxInt64) / 4 / float64(time.Millisecond)

// parseMilliseconds converts a time in milliseconds; false: it is not a number, or too large.
func parseMilliseconds(ms float64) (time.Duration, bool) {
	if !(ms > -maxMilliseconds && ms < maxMilliseconds) {
		return 0, false
	}
	return time.Duration(math.Round(ms * float64(time.Millisecond))), true
}

// putMilliseconds writes a time, in milliseconds.
func putMilliseconds(b []byte, d time.Duration) {
	binary.BigEndian.PutUint64(b, math.Float64bits(float64(d)/float64(time.Millisecond)))
}

// parseEndpointID reads an endpoint's ID: its index in four bytes and its generation in two.
func parseEndpointID(b []byte) policy.EndpointID {
	index, generation := binary.BigEndian.Uint32(b), binary.BigEndian.Uint16(b[4:])
	return policy.EndpointID(uint64(index)<<16 | uint64(generation))
}

// putEndpointID writes an endpoint's ID.
func putEndpointID(b []byte, id policy.EndpointID) {
	binary.BigEndian.PutUint32(b, uint32(id>>16))
	binary.BigEndian.PutUint16(b[4:], uint16(id))
}
