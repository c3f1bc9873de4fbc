package h2client

import (
	"net/http"
	"strings"

	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// grpcFailures contains the gRPC status codes that count as a failure of the endpoint
// (https://grpc.github.io/grpc/core/md_doc_statuscodes.html). With each of them the request may have run, so that its class
// decides whether it may be sent again. All status codes:
//
//	 0 OK                  an answer
//	 1 CANCELLED           an answer: the caller cancelled the request
//	 2 UNKNOWN             a failure: an error in the endpoint's code
//	 3 INVALID_ARGUMENT    an answer
//	 4 DEADLINE_EXCEEDED   an answer: there is no time for another attempt
//	 5 to 7, 9 to 12, 16   answers that concern the application's state or the caller
//	 8 RESOURCE_EXHAUSTED  a failure: the endpoint has no capacity
//	13 INTERNAL            a failure: an invariant is broken
//	14 UNAVAILABLE         a failure: the endpoint is not available at present
//	15 DATA_LOSS           a failure: the endpoint's data is corrupt
var grpcFailures = map[string]bool{"2": true, "8": true, "13": true, "14": true, "15": true}

// isGRPC reports whether a header is that of a gRPC request or response, by its Content-Type.
func isGRPC(h http.Header) bool {
	types := h["Content-Type"]
	return len(types) == 1 && (types[0] == "application/grpc" || strings.HasPrefix(types[0], "application/grpc+") ||
		strings.HasPrefix(types[0], "application/grpc;"))
}

// grpcOutcome returns the status of an attempt with a complete answer. final reports that the endpoint delays or forbids a
// retry (grpc-retry-pushback-ms, gRFC A6). Only the caller can obey that, so that there must be no retry here.
func grpcOutcome(a *h1client.Answer) (status policy.Status, final bool) {
	if !isGRPC(a.Header) {
		return policy.OK, false
	}
	fields := a.Trailer
	if len(fields["Grpc-Status"]) == 0 {
		fields = a.Header // an answer without a body (Trailers-Only)
	}
	if v := fields["Grpc-Status"]; len(v) != 1 || !grpcFailures[v[0]] {
		return policy.OK, false
	}
	return policy.ErrorResponse, len(fields["Grpc-Retry-Pushback-Ms"]) > 0
}
