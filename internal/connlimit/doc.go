// Package connlimit limits the client connections of a server: it decides which connections are admitted, and
// which idle one is closed when the limits are reached. It is pure: it does no I/O and has no clock. The owner of
// the sockets reports what happens on them and closes the connections that the package names.
//
// A connection is in one of five phases: new (nothing was received on it), partial (a part of a request was
// received), busy (a complete request was), and idle, after its first request or after a later one. All but the
// new ones are active and share the limit of active connections. New ones have a limit of their own, so that a
// flood of connections that send nothing does not take the places of clients that send requests.
//
// Where a gateway before this node grants each client a number of connections, a client that finds them all in
// use never reaches this node. So places are kept free in advance: as soon as the active connections grow into
// the reserve, an idle one is closed.
package connlimit
