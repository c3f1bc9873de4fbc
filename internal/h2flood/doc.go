// Package h2flood counts the frames of an HTTP/2 connection against limits. It is pure: bytes and times are passed in.
// It reads the headers of frames alone (RFC 9113, 4.1); what they mean is left to the server behind it.
//
// That server's own limits bound what a flood costs in memory. They don't bound what it costs in work: a client may
// reset a stream a microsecond after it opened it, or have the server reset it, as often as it likes, and each time a
// request is begun for nothing.
//
// guard.go has the limits and what counts against them, framescanner.go finds frames in the bytes of a direction, and
// tokenbucket.go limits a rate.
package h2flood
