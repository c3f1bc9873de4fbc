// Package extproc is the server's side of Envoy's external processing (envoy.service.ext_proc.v3): other proxies ask
// it what to do with each request of theirs. Like every downstream server it decides nothing: an ingress.Router says
// where a request goes, the engine what becomes of it there.
//
// A route has one of two modes. To forward, the program sends the request to an endpoint itself and returns the
// response as an immediate response (the setting "carry"). To pick, it names the endpoint in a header mutation and in
// dynamic metadata, and the caller sends; the response headers that the caller passes on are the attempt's outcome.
//
// The way of a message through the files:
//
//   - serve.go has the listener and the gRPC server, server.go the Process call and its status.
//   - streamtimer.go ends a processing stream whose caller neither sends nor reads.
//   - stream.go receives, keeps the order by streamstate.go (pure), and reads the request by headers.go.
//   - bodydelivery.go decides how the body of a forwarded request comes; requestbody.go receives it.
//   - idempotency.go admits a request whose effect may not happen twice, or answers it from the first one.
//   - forward.go gives the request to the engine, response.go sends the final answer.
//   - pickrequest.go is the request of a caller over all its streams, and the engine's payload; pick.go names an
//     endpoint on a stream; pickoutcome.go reads the outcome from what the caller passes on.
//   - mutation.go and immediateresponse.go write the replies.
//
// Goroutines: Serve starts the gRPC server and ends it before it returns. A Process call runs in a goroutine of the
// gRPC server. recvBy and receiveUpload start one that receives; it ends with the stream, since the library ends a
// Recv once Process has returned. receiveUpload starts another one for the upload, and stopGracefully one that ends
// with the gRPC server. pickRequest.run is started by the first stream of a request and ends with the
// engine's answer, at the request's deadline at the latest.
//
// Locks: Server.mu guards the requests in flight and the stored outcomes, pickRequest.mu the state of one request.
// pickRequest.mu may be locked while Server.mu is, not the other way round.
package extproc
