// Package connlimit limits the client connections of a server: it decides which connections are admitted, and which
// connection is closed when the limits are reached. It is pure: it does no I/O and has no clock. The owner of the
// sockets reports what happens on them and closes the connections that the package returns.
//
// A connection is in one of five phases: new (nothing was received on it), partial (a part of a request was received),
// busy (a complete request was received), idle after its first request, or idle after a later request. Connections in all
// phases but new are active and share the limit of active connections, except for overflow connections, which have a
// limit of their own. New connections have a limit of their own too, so that a flood of connections that send nothing
// does not displace clients that send requests.
//
// A gateway in front of this node may limit the connections of all clients to this node together. Once they are in use,
// the gateway rejects new clients. These never reach this node, so this node can't close an idle connection to make room
// for them. A reserve is therefore kept free in advance: as soon as the active connections extend into the reserve, an
// idle connection is closed.
package connlimit
