// Package h1client sends attempts to endpoints over HTTP/1.1. Each call of Pool.Exchange is one attempt. Unlike
// http.Transport, the package never sends a request a second time by itself: package engine makes all further attempts.
//
// Pool.Exchange (exchange.go) takes an idle connection (idleconns.go) or opens a new one (dial.go), and writes the request
// (request.go). A request body that is still arriving from the client is an Upload (upload.go); an uploadSender
// (uploadsender.go) writes it while the answer is read. The answer's head (answerhead.go) and body (answer.go) are read
// with limits on size and time. A long or slow body is returned as a Stream (stream.go), and an upgraded connection as a
// tunnel (tunnel.go); both own the connection until they are closed. Every other attempt ends with Pool.release.
//
// # Goroutines
//
// An attempt runs on the caller's goroutine. The owner of a Pool runs Pool.EvictIdle until it ends the context. The owner of
// an Upload runs Upload.Run, which ends with the body or with Upload.Close. The only goroutine that the package starts itself
// is that of conn.startUpload, which writes an upload. uploadSender.stop ends it and waits for its end, at the end of the
// exchange or in stream.Close.
//
// # Locks
//
// Pool.mu guards the endpoints, their idle connections and the counts. Upload.mu guards the buffer and the state of the
// upload. A conn has no lock: an idle one belongs to the Pool and is guarded by Pool.mu, and any other is used by a single
// attempt, stream or tunnel.
package h1client
