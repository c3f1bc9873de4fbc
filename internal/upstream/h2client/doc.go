// Package h2client sends attempts to endpoints over HTTP/2 (RFC 9113), with golang.org/x/net/http2. Like package h1client, it
// makes no decisions: each call of Pool.Exchange is one attempt, and the package sends no request again by itself.
//
// Pool.Exchange (exchange.go) runs an attempt. It reserves a stream on a connection, and opens a connection if none has a
// free stream (connect.go). It then sends the request on the stream (request.go). A short answer that arrives soon is read as
// a whole (answer.go), and any other answer's body is an h1client.Stream (stream.go). The status codes of gRPC are evaluated
// in grpc.go.
//
// # Goroutines
//
// An attempt runs on the caller's goroutine. The owner of a Pool runs EvictIdle on a goroutine of its own until it ends the
// context. stream.readBuffered starts a goroutine that reads the answer's body; stream.Close ends that goroutine and waits
// for it. The goroutines of golang.org/x/net's ClientConn end when the ClientConn is closed.
//
// # Locks
//
// Pool.mu guards the endpoints, their connections and the counts. A stream belongs to one attempt, or to the owner of its
// answer, and has no lock.
package h2client
