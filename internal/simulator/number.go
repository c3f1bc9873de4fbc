package simulator

import (
	"encoding/binary"
	"math"
	"time"

	"yokestall/policy"
)

// maxMilliseconds is the bound of the absolute value of accepted times, in milliseconds. It is a quarter of the longest
// time.Duration, so that the sum of a few times does not overflow.
const maxMilliseconds = float64(math.MaxInt64) / 4 / float64(time.Millisecond)

// parseMilliseconds converts a time in milliseconds. The result is false if ms is NaN or its absolute value is not below
// maxMilliseconds.
func parseMilliseconds(ms float64) (time.Duration, bool) {
	if !(ms > -maxMilliseconds && ms < maxMilliseconds) {
		return 0, false
	}
	return time.Duration(math.Round(ms * float64(time.Millisecond))), true
}

// putMilliseconds writes a time to the first 8 bytes of b, as milliseconds in floating point.
func putMilliseconds(b []byte, d time.Duration) {
	binary.BigEndian.PutUint64(b, math.Float64bits(float64(d)/float64(time.Millisecond)))
}

// parseEndpointID reads an endpoint's ID from the first 6 bytes of b: the index in four bytes and the generation in two.
func parseEndpointID(b []byte) policy.EndpointID {
	index, generation := binary.BigEndian.Uint32(b), binary.BigEndian.Uint16(b[4:])
	return policy.EndpointID(uint64(index)<<16 | uint64(generation))
}

// putEndpointID writes an endpoint's ID to the first 6 bytes of b, in the form that parseEndpointID reads.
func putEndpointID(b []byte, id policy.EndpointID) {
	binary.BigEndian.PutUint32(b, uint32(id>>16))
	binary.BigEndian.PutUint16(b[4:], uint16(id))
}
