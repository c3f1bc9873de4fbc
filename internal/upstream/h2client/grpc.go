package h2client

import (
	"net/http"
	"strings"

	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// grpcFailures are the statuses of gRPC that count as a failure of the endpoint
// (https://grpc.github.io/grpc/core/md_doc_statuscodes.html). The request may have run with each of them, so that its
// class decides whether it may be sent again.
//
//	 0 OK                  the answer
//	 1 CANCELLED           by the caller
//	 2 UNKNOWN             an error in the endpoint's code
//	 3 INVALID_ARGUMENT    an answer
//	 4 DEADLINE_EXCEEDED   an answer: there is no time for another
//	 5 to 7, 9 to 12, 16   answers: about the application's state or the caller
//	 8 RESOURCE_EXHAUSTED  the endpoint has no capacity
//	13 INTERNAL            an invariant is broken
//	14 UNAVAILABLE         the endpoint is not available at present
//	15 DATA_LOSS           the endpoint's data is corrupt
var grpcFailures = map[string]bool{"2": true, "8": true, "13": true, "14": true, "15": true}

// isGRPC reports whether a header is that of a gRPC message.
func isGRPC(h http.Header) bool {
	kinds := h["Content-Type"]
	return len(kinds) == 1 && (kinds[0] == "application/grpc" || strings.HasPrefix(kinds[0], "application/grpc+") ||
		strings.HasPrefix(kinds[0], "application/grpc;"))
}

// grpcOutcome returns the status of an attempt by its complete answer. final reports that the endpoint sets the time of
// a retry or forbids it (grpc-retry-pushback-ms, gRFC A6): that is for the caller, so that no retry may follow here.
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
