package h2client

import (
	"net/http"
	"strings"

	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// grpcFailures are the statuses of gRPC that say that the server failed, rather than that it
// has answered (https://grpc.github.io/grpc/core/md_doc_statuscodes.html). The work may have
// been done under each of them, so that what may be sent again is for the class to say.
//
//	 0 OK                  the answer
//	 1 CANCELLED           the caller's doing
//	 2 UNKNOWN             the server's code broke
//	 3 INVALID_ARGUMENT    an answer
//	 4 DEADLINE_EXCEEDED   an answer: there is no time for another
//	 5 to 7, 9 to 12, 16   answers: of the application's state, or who asks
//	 8 RESOURCE_EXHAUSTED  the server has no room
//	13 INTERNAL            an invariant is broken
//	14 UNAVAILABLE         the server can't at present
//	15 DATA_LOSS           what it has is broken
var grpcFailures = map[string]bool{"2": true, "8": true, "13": true, "14": true, "15": true}

func isGRPC(h http.Header) bool {
	kinds := h["Content-Type"]
	return len(kinds) == 1 && (kinds[0] == "application/grpc" || strings.HasPrefix(kinds[0], "application/grpc+") ||
		strings.HasPrefix(kinds[0], "application/grpc;"))
}

// grpcOutcome tells what a whole answer says of its attempt. final: the server has said when
// to come back, or that nobody should (grpc-retry-pushback-ms, gRFC A6): the caller, whom it
// is meant for, has to hear that, so that nothing else may be tried here.
func grpcOutcome(a *h1client.Answer) (status policy.Status, final bool) {
	if !isGRPC(a.Header) {
		return policy.OK, false
	}
	fields := a.Trailer
	if len(fields["Grpc-Status"]) == 0 {
		fields = a.Header // an answer of fields alone
	}
	if v := fields["Grpc-Status"]; len(v) != 1 || !grpcFailures[v[0]] {
		return policy.OK, false
	}
	return policy.ErrorResponse, len(fields["Grpc-Retry-Pushback-Ms"]) > 0
}
