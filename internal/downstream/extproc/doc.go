// Package extproc implements the server side of Envoy's external processing protocol (envoy.service.ext_proc.v3), by
// which other proxies, the callers, ask how to handle each of their requests. Like every downstream server, the package
// makes no decisions: an ingress.Router selects the destination of a request, and the engine decides on its attempts.
//
// A route either forwards or picks. A route that forwards (the setting "carry") has this program send the request to an
// endpoint and return the endpoint's response as an immediate response. A route that picks names an endpoint to the
// caller, in a header mutation and in dynamic metadata; the caller sends the request, and the response headers that it
// passes to the processor give the attempt's outcome.
//
// The files, in the order in which they handle a message:
//
//   - serve.go runs the listener and the gRPC server; server.go handles the Process call and its status.
//   - streamtimer.go ends a processing stream whose caller neither sends nor reads.
//   - stream.go receives messages, checks their order with streamstate.go (pure) and reads the request with headers.go.
//   - bodydelivery.go decides how the body of a forwarded request is delivered; requestbody.go receives it.
//   - idempotency.go admits a request that is not safe to execute twice, or answers a duplicate from the first request.
//   - forward.go passes the request to the engine; response.go sends the final answer.
//   - pickrequest.go represents a caller's request over all its streams and is the engine's payload; pick.go names an
//     endpoint on a stream; pickoutcome.go reads the attempt's outcome from the messages that follow.
//   - mutation.go and immediateresponse.go build the replies.
//
// Goroutines: Serve starts the gRPC server and stops it before it returns. Each Process call runs in a goroutine of the
// gRPC server. recvBy and receiveUpload each start a goroutine that receives messages; it ends with the stream, because
// the gRPC library ends a Recv once Process has returned. receiveUpload starts a second goroutine for the upload, and
// stopGracefully starts one that ends with the gRPC server. pickRequest.run runs in a goroutine that the first stream of
// a request starts; it ends with the engine's answer, at the request's deadline at the latest.
//
// Locks: Server.mu guards the requests in flight and the stored outcomes; pickRequest.mu guards the state of one request.
// pickRequest.mu may be locked while Server.mu is held, but not the other way round.
package extproc
