// Package h2flood counts the frames of an HTTP/2 connection and compares the counts with limits. It does no I/O: bytes and
// times are passed in. It reads frame headers and the error codes of RST_STREAM frames (RFC 9113, 4.1 and 6.4), and leaves
// the meaning of frames to the HTTP/2 server.
//
// The limits of that server bound the memory that a flood costs, but not the work. A client may reset each stream a
// microsecond after it opened it, or make the server reset it, any number of times, and each time the server begins a
// request in vain.
//
// guard.go has the limits and the frames that count against them, framescanner.go finds the frames in the bytes of one
// direction, and tokenbucket.go limits a rate.
package h2flood
