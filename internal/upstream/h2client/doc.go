// Package h2client sends attempts to endpoints over HTTP/2 (RFC 9113), on top of golang.org/x/net/http2. Like package
// h1client it decides nothing, and nothing is sent again by itself.
//
// The way of an attempt: Pool.Exchange (exchange.go) gets a place on a connection, which is opened if there is none
// (connect.go), and opens a stream on it (request.go). A short answer that arrives soon is read as a whole (answer.go),
// any other follows as an h1client.Stream (stream.go). gRPC's statuses are evaluated in grpc.go.
//
// # Goroutines
//
// An attempt runs on the caller's goroutine, and the owner of a Pool runs EvictIdle until it ends its context.
// stream.readBuffered starts one that reads the answer's body; stream.Close ends it and waits for it. Those of
// golang.org/x/net's ClientConn end when it is closed.
//
// # Locks
//
// Pool.mu guards the endpoints, their connections and the counts. A stream belongs to one attempt or its answer's
// owner.
package h2client
