// Package h1server serves clients over HTTP/1.1, on top of net/http's server, and the requests of HTTP/2 streams that
// package h2server hands to the same handler. It decides neither where a request goes (an ingress.Router does) nor what
// happens to it there (the engine does).
//
// The way of a connection: limitedListener accepts it (listener.go) and gives it a place in the table of client
// connections (clientconns.go, by the rules of package connlimit). net/http reads requests from the clientConn
// (clientconn.go), which scans the bytes for framing fields (framingscan.go) and reports them to the table.
//
// The way of a request: ServeHTTP (handler.go) checks, routes and parses it (request.go), reads its body or starts its
// upload (requestbody.go, platformbody.go, upload.go), watches for the client's disconnect (disconnect.go,
// readahead.go), passes it to the cluster, and writes the response (response.go), or joins the two connections
// (tunnel.go). Operators' and process states, such as draining and lame duck mode, are in lifecycle.go.
//
// # Goroutines
//
// net/http's server starts one for each connection and HTTP/2 stream, and ends it with them. The others:
//
//   - The upload of a request, started by runUpload; exchange.endUpload ends it and waits for it, before the handler
//     returns.
//   - The two directions of a tunnel; Server.tunnel waits for both.
//   - The timer of clientConn.watch; the function that watch returns stops it.
//   - clientConns.runLameDuck, started by EnterLameDuck; ended by ExitLameDuck or with EnterLameDuck's context.
//
// # Locks
//
// Server.mu guards the open request IDs and the tunnels. clientConns.mu guards the table of connections and what its
// rules read. clientConn.readMu guards the state of reading one socket; it may be locked under clientConns.mu, never
// the other way round.
package h1server
