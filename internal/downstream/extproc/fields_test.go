package extproc

import (
	"fmt"
	"os"
	"strings"
	"testing"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// fieldUses describes, for each field of the protocol, how the package reads or writes it; "not used" if it does
// neither. The texts are the second column of docs/extproc-fields.md.
var fieldUses = map[string]string{
	"ProcessingRequest.request_headers":      "read; has to be the first message",
	"ProcessingRequest.response_headers":     "read; pick: the attempt's outcome",
	"ProcessingRequest.request_body":         "read; carry: the request's body. Pick: passed",
	"ProcessingRequest.response_body":        "passed; pick: an answer, where response_headers are skipped",
	"ProcessingRequest.request_trailers":     "read; carry: the end of the body. Pick: passed",
	"ProcessingRequest.response_trailers":    "passed, as response_body",
	"ProcessingRequest.metadata_context":     "read; pick: the server that was used, in envoy.lb",
	"ProcessingRequest.attributes":           "read; pick: upstream.address, response.code_details",
	"ProcessingRequest.observability_mode":   "read; nothing is decided or replied",
	"ProcessingRequest.protocol_config":      "read from the first message",
	"ProcessingRequest.flow_control_init":    "not used: bodies are held back by gRPC's own windows",
	"ProcessingRequest.client_window_update": "read past; a message of it alone gets no reply",

	"ProtocolConfiguration.request_body_mode":                             "read; carry: how the body comes",
	"ProtocolConfiguration.response_body_mode":                            "read; how a body is passed",
	"ProtocolConfiguration.send_body_without_waiting_for_header_response": "read; carry: STREAMED may be held back",
	"HttpHeaders.headers":                                                 "read; text or raw bytes",
	"HttpHeaders.attributes":                                              "not used (deprecated there)",
	"HttpHeaders.end_of_stream":                                           "read",
	"HttpBody.body":                                                       "read",
	"HttpBody.end_of_stream":                                              "read",
	"HttpBody.end_of_stream_without_message":                              "read; GRPC",
	"HttpBody.grpc_message_compressed":                                    "read; GRPC: the frame's flag",
	"HttpBody.drain_complete":                                             "passed",
	"HttpTrailers.trailers":                                               "carry: not sent on; pick: they stay",
	"ProcessingResponse.request_headers":                                  "written",
	"ProcessingResponse.response_headers":                                 "written",
	"ProcessingResponse.request_body":                                     "written",
	"ProcessingResponse.response_body":                                    "written",
	"ProcessingResponse.request_trailers":                                 "written",
	"ProcessingResponse.response_trailers":                                "written",
	"ProcessingResponse.immediate_response":                               "written; final answers",
	"ProcessingResponse.streamed_immediate_response":                      "written; carry: long answers, for NONE and FULL_DUPLEX_STREAMED",
	"ProcessingResponse.dynamic_metadata":                                 "written; pick: the server, in envoy.lb",
	"ProcessingResponse.typed_dynamic_metadata":                           "not used",
	"ProcessingResponse.mode_override":                                    "written with mode_override = true",
	"ProcessingResponse.request_drain":                                    "not used (deprecated there)",
	"ProcessingResponse.request_drain_requests":                           "not used: bodies are passed to their end",
	"ProcessingResponse.request_drain_responses":                          "not used: bodies are passed to their end",
	"ProcessingResponse.override_message_timeout":                         "not used: a decision is due within the caller's own time",
	"ProcessingResponse.server_window_update":                             "not used: as flow_control_init",
	"HeadersResponse.response":                                            "written",
	"BodyResponse.response":                                               "written",
	"TrailersResponse.header_mutation":                                    "not used",
	"CommonResponse.status":                                               "CONTINUE",
	"CommonResponse.header_mutation":                                      "written; the server's name, the route's edits",
	"CommonResponse.body_mutation":                                        "written; bodies of FULL_DUPLEX_STREAMED and GRPC",
	"CommonResponse.trailers":                                             "not used",
	"CommonResponse.clear_route_cache":                                    "not used: the caller's route stays",
	"HeaderMutation.set_headers":                                          "written; raw bytes, OVERWRITE_IF_EXISTS_OR_ADD then APPEND_IF_EXISTS_OR_ADD",
	"HeaderMutation.remove_headers":                                       "written",
	"BodyMutation.body":                                                   "not used",
	"BodyMutation.clear_body":                                             "not used",
	"BodyMutation.streamed_response":                                      "written",
	"StreamedBodyResponse.body":                                           "written",
	"StreamedBodyResponse.end_of_stream":                                  "written",
	"StreamedBodyResponse.end_of_stream_without_message":                  "written; GRPC",
	"StreamedBodyResponse.grpc_message_compressed":                        "written; GRPC",
	"StreamedBodyResponse.drain_complete":                                 "written, as it came",
	"ImmediateResponse.status":                                            "written",
	"ImmediateResponse.headers":                                           "written",
	"ImmediateResponse.body":                                              "written",
	"ImmediateResponse.grpc_status":                                       "written; from a gRPC answer's trailers",
	"ImmediateResponse.details":                                           "written; yokestall_carried, _replayed, _refused, _failed, _rejected",
	"GrpcStatus.status":                                                   "written",
	"StreamedImmediateResponse.headers_response":                          "written",
	"StreamedImmediateResponse.body_response":                             "written",
	"StreamedImmediateResponse.trailers_response":                         "written",
}

// TestFieldTable checks that fieldUses has a line for each field of each message of the published protocol, and
// that docs/extproc-fields.md contains that table. With YOKESTALL_WRITE=1 it writes the page instead.
func TestFieldTable(t *testing.T) {
	var page strings.Builder
	page.WriteString("# The external processor: every field of the protocol\n\nMessages of `envoy.service.ext_proc.v3`. " +
		"Written by `YOKESTALL_WRITE=1 go test ./internal/downstream/extproc -run TestFieldTable`, which fails where a field has no line.\n\n| field | use |\n| --- | --- |\n")
	known := map[string]bool{}
	for _, m := range []proto.Message{
		&pb.ProcessingRequest{}, &pb.ProtocolConfiguration{}, &pb.HttpHeaders{}, &pb.HttpBody{}, &pb.HttpTrailers{},
		&pb.ProcessingResponse{}, &pb.HeadersResponse{}, &pb.BodyResponse{}, &pb.TrailersResponse{}, &pb.CommonResponse{},
		&pb.HeaderMutation{}, &pb.BodyMutation{}, &pb.StreamedBodyResponse{}, &pb.ImmediateResponse{}, &pb.GrpcStatus{},
		&pb.StreamedImmediateResponse{},
	} {
		d := m.ProtoReflect().Descriptor()
		for i := range d.Fields().Len() {
			name := fmt.Sprintf("%s.%s", d.Name(), d.Fields().Get(i).Name())
			known[name] = true
			if fieldUses[name] == "" {
				t.Errorf("protocol field %s has no line in fieldUses", name)
			}
			fmt.Fprintf(&page, "| `%s` | %s |\n", name, fieldUses[name])
		}
	}
	for name := range fieldUses {
		if !known[name] {
			t.Errorf("fieldUses has a line for %s, which is not a field of the protocol", name)
		}
	}
	// A later protocol version may add a message to the oneof ProcessingRequest.request; Phase must then get a value for it.
	oneofs := (&pb.ProcessingRequest{}).ProtoReflect().Descriptor().Oneofs()
	if n := oneofs.ByName(protoreflect.Name("request")).Fields().Len(); n != len(phaseNames)-1 {
		t.Errorf("ProcessingRequest.request has %d kinds of messages, want %d, as many as there are phases", n, len(phaseNames)-1)
	}
	const path = "../../../docs/extproc-fields.md"
	if os.Getenv("YOKESTALL_WRITE") != "" {
		if err := os.WriteFile(path, []byte(page.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	} else if text, err := os.ReadFile(path); err != nil || string(text) != page.String() {
		t.Errorf("docs/extproc-fields.md differs from fieldUses (read error: %v); to rewrite the page, run "+
			"YOKESTALL_WRITE=1 go test ./internal/downstream/extproc -run TestFieldTable", err)
	}
}
