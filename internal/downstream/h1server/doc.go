// Package h1server serves clients over HTTP/1.1, on top of net/http's server, and the requests of HTTP/2 streams that
// package h2server hands to the same handler. It decides neither where a request goes (an ingress.Router does) nor what
// happens to it there (the engine does).
//
// A connection takes this path: limitedListener accepts it (listener.go) and gives it a place in the table of client
// connections (clientconns.go, by the rules of package connlimit). net/http reads requests from the clientConn
// (clientconn.go), which scans the bytes for framing fields (framingscan.go) and reports them to the table.
//
// A request takes this path: ServeHTTP (handler.go) checks, routes and parses it (request.go), reads its body or starts its
// upload (requestbody.go, platformbody.go, upload.go), watches for the client's disconnect (disconnect.go,
// readahead.go), passes the request to the cluster, and writes the response (response.go), or joins the client's and
// the endpoint's connection (tunnel.go). The states of the process and those that operators set, such as draining and
// lame duck mode, are in lifecycle.go.
//
// # Goroutines
//
// net/http's server runs one goroutine for each connection and HTTP/2 stream. The package starts these others:
//
//   - The reader of a request's upload, started by runUpload; exchange.endUpload ends the reader and waits for it
//     before the handler returns.
//   - The two directions of a tunnel; Server.tunnel waits for both.
//   - The timer of clientConn.watchDisconnect; the stop function that watchDisconnect returns ends it.
//   - clientConns.runLameDuck, started by EnterLameDuck; ended by ExitLameDuck or with EnterLameDuck's context.
//
// # Locks
//
// Server.mu guards the IDs of open requests and the tunnels. clientConns.mu guards the table of connections and the
// state on which its rules depend. clientConn.readMu guards the state of reading one socket. readMu may be locked while
// clientConns.mu is held; clientConns.mu must not be locked while readMu is held.
package h1server
