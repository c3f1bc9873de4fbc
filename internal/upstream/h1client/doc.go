// Package h1client sends attempts to endpoints over HTTP/1.1. It decides nothing: each call of Pool.Exchange is one
// attempt, and nothing is sent again by itself, which an http.Transport would do.
//
// The way of an attempt: Exchange (exchange.go) gets a connection, an idle one (idleconns.go) or a new one (dial.go),
// and writes the request (request.go). A body that is still being read from the client is an Upload (upload.go), which
// an uploadSender writes beside the answer (uploadsender.go). The answer's head (answerhead.go) and body (answer.go)
// are read with limits on size and time. A long or slow body follows as a Stream (stream.go), an upgraded connection as
// a tunnel (tunnel.go); both own the connection until they are closed. Every other attempt ends with Pool.release.
//
// # Goroutines
//
// An attempt runs on the caller's goroutine. The owner of a Pool runs EvictIdle, and the owner of an Upload runs
// Upload.Run, both until they end them. startUpload starts the only goroutine of the package, which writes an upload;
// uploadSender.stop ends it and waits for it, at the end of the exchange or in stream.Close.
//
// # Locks
//
// Pool.mu guards the endpoints, their idle connections and the counts. Upload.mu guards the body's buffer and state. A
// conn belongs to one attempt, stream or tunnel at a time and has no lock, except that idle ones belong to the Pool.
package h1client
