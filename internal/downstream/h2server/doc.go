// Package h2server adds HTTP/2 to a net/http server that serves HTTP/1.1. It limits the frames that a client may send
// or cause on its connection (package h2flood), and can tell the clients of HTTP/2 to move to other nodes while requests
// over HTTP/1.1 continue.
//
// A connection takes this path: net/http accepts it, and hands it over once HTTP/2 is negotiated by TLS or begun in
// clear text (server.go). A guardedConn counts its frames (guardedconn.go), and golang.org/x/net's server reads requests from
// it and calls the handler of net/http's server, which is package h1server's.
//
// The package starts no goroutines: golang.org/x/net's server runs on the goroutine of net/http's connection, and starts
// and ends goroutines of its own. The only lock, guardedConn.mu, guards the counts of one connection.
package h2server
