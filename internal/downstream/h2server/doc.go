// Package h2server serves clients over HTTP/2 beside net/http's server for HTTP/1.1: what a client does to its
// connection is limited (package h2flood), and the clients of HTTP/2 can be told to move while requests over HTTP/1.1
// go on.
//
// The way of a connection: net/http accepts it, and hands it over once HTTP/2 is negotiated by TLS or begun in clear
// text (server.go). A guardedConn counts its frames (guardedconn.go), and golang.org/x/net's server reads requests from
// it and calls the handler of net/http's server, which is package h1server's.
//
// The package starts no goroutine: golang.org/x/net's server runs on that of net/http's connection and starts and ends
// its own. guardedConn.mu guards the counting of one connection; there are no other locks.
package h2server
