package extproc_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"yokestall/internal/fake/proxy"
	"yokestall/internal/testutil"
)

// If a caller does not report an attempt's outcome, the attempt may have run once the request's deadline has passed. No
// endpoint is named to a later request with the same id, neither before the deadline nor after it.
func TestNeverTold(t *testing.T) {
	r := startProcessor(t, []string{"127.0.0.1:1"})
	for i := range 50 {
		fields := []string{"x-request-id", fmt.Sprint("n", i), "x-timeout-ms", "30"}
		first := r.open(t.Context())
		first.Send(requestHeaders(true, "/pick/pay/x", fields...))
		if reply, err := first.Recv(); err != nil || namedEndpoint(reply) == "" {
			continue // the endpoint's breaker has opened: the request is rejected
		}
		for over := false; !over; {
			again := r.open(t.Context())
			again.Send(requestHeaders(true, "/pick/pay/x", fields...))
			reply, err := again.Recv()
			if namedEndpoint(reply) != "" || err != nil {
				t.Fatalf("round %d: request with the same id got %v, error %v; want an answer without an endpoint", i, reply, err)
			}
			over = strings.Contains(string(reply.GetImmediateResponse().GetBody()), "may have run")
			again.CloseSend()
		}
		first.CloseSend()
	}
}

// Another endpoint is named for a caller's own retry if the class allows a retry. For a request that is not idempotent
// and may have run, no endpoint is named.
func TestCallerRetries(t *testing.T) {
	const details = "upstream_reset_before_response_started{connection_failure}"
	refused, err := structpb.NewStruct(map[string]any{"response.code_details": details})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		path, code string // code: the reported status code; "": the stream ends without response headers
		connected  bool   // if false, the caller reports that it had no connection to the endpoint
		again      bool   // an endpoint is named for the retry
	}{
		{"/pick/x", "500", true, true}, {"/pick/push/x", "500", true, true},
		{"/pick/pay/x", "500", true, false}, {"/pick/pay/x", "503", false, true}, {"/pick/pay/x", "", true, false},
	} {
		t.Run(tc.path+tc.code, func(t *testing.T) {
			first, second := "127.0.0.1:1", "127.0.0.1:2" // the test connects to neither
			r := startProcessor(t, []string{first}, `report = "200ms"`, `report = "30s"`)
			ask := func(count string) (callerStream, *pb.ProcessingResponse) {
				s := r.open(t.Context())
				s.Send(requestHeaders(true, tc.path,
					"x-request-id", "one", "idempotency-key", "k", "x-envoy-attempt-count", count))
				reply, err := s.Recv()
				if err != nil {
					t.Fatal(err)
				}
				return s, reply
			}
			s, reply := ask("1")
			if namedEndpoint(reply) != first {
				t.Fatalf("reply to the first attempt: %v, want endpoint %s", reply, first)
			}
			if err := r.app.Apply(r.version([]string{first, second})); err != nil {
				t.Fatal(err)
			}
			msg := responseHeaders(tc.code)
			if !tc.connected {
				msg.Attributes = map[string]*structpb.Struct{"envoy.filters.http.ext_proc": refused}
			}
			if tc.code != "" {
				s.Send(msg)
				if _, err := s.Recv(); err != nil {
					t.Fatal(err)
				}
			}
			s.CloseSend()
			s, reply = ask("2")
			got := namedEndpoint(reply)
			if tc.again != (got == second) || !tc.again && reply.GetImmediateResponse() == nil {
				t.Errorf("the retry got endpoint %q, answer %v; endpoint %s allowed: %v",
					got, reply.GetImmediateResponse(), second, tc.again)
			}
			if tc.again {
				s.Send(responseHeaders("200"))
				s.Recv()
			}
			s.CloseSend()
			r.awaitIdle()
		})
	}
}

// An endpoint that was picked for a retry, and removed before the caller opened the retry's stream, is not named, however
// recently it was removed: the caller would send to it only later.
func TestGoneBeforeItIsNamed(t *testing.T) {
	first, second, third := "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
	r := startProcessor(t, []string{first}, `report = "200ms"`, `report = "30s"`)
	for i := range 20 {
		if err := r.app.Apply(r.version([]string{first})); err != nil {
			t.Fatal(err)
		}
		ask := func(count string) (callerStream, string) {
			s := r.open(t.Context())
			s.Send(requestHeaders(true, "/pick/x", "x-request-id", fmt.Sprint("r", i), "x-envoy-attempt-count", count))
			reply, err := s.Recv()
			if err != nil {
				t.Fatal(err)
			}
			return s, namedEndpoint(reply)
		}
		s, got := ask("1")
		if got != first {
			continue // the endpoint's breaker is open: the request is rejected
		}
		if err := r.app.Apply(r.version([]string{first, second})); err != nil {
			t.Fatal(err)
		}
		s.Send(responseHeaders("500"))
		s.Recv()
		s.CloseSend()
		s.Recv() // the second endpoint has been picked, or is about to be
		if err := r.app.Apply(r.version([]string{first, third})); err != nil {
			t.Fatal(err)
		}
		s, got = ask("2")
		if got == second {
			t.Errorf("round %d: got endpoint %s, which was removed before", i, got)
		}
		s.Send(responseHeaders("200"))
		s.Recv()
		s.CloseSend()
	}
}

// An endpoint that drains after it was picked and before it is named is not named: the request gets another endpoint. An
// attempt that the caller sends to another endpoint than the named one is counted as a mismatch, not as a failure of the
// named endpoint.
func TestDrainBeforeTheSend(t *testing.T) {
	list, addrs := startBoxes(t, 2)
	r := startProcessor(t, addrs)
	p := &proxy.Proxy{Conn: r.conn, OtherServer: testutil.StartAppServer(t, "wrong").Addr()}
	defer p.Close()
	for i := range 30 {
		out := p.Do(t.Context(), proxy.Request{Method: "GET", Path: "/pick/x", Timeout: 5 * time.Second})
		if out.Status != 200 {
			t.Fatalf("request %d: %+v, want status 200", i, out)
		}
		if i == 10 {
			if err := r.app.Apply(r.version(addrs[1:])); err != nil { // the first endpoint is removed
				t.Fatal(err)
			}
		}
		if i > 10 && out.Servers[0] == addrs[0] {
			t.Errorf("request %d: endpoint %s named after its removal", i, out.Servers[0])
		}
	}
	before := list[1].Count()
	ask := proxy.Request{Method: "GET", Path: "/pick/x", Timeout: 5 * time.Second}
	wrong := ask
	wrong.Fault = proxy.OtherServer
	out := p.Do(t.Context(), wrong)
	if n := r.server.Stats.EndpointMismatches.Load(); n != 1 || out.Status != 200 || list[1].Count() != before {
		t.Errorf("attempt sent to another endpoint: %d mismatches, want 1; %+v, want status 200; "+
			"the named endpoint has %d requests, want %d", n, out, list[1].Count(), before)
	}
	if out := p.Do(t.Context(), ask); out.Status != 200 {
		t.Errorf("request after a mismatch: %+v, want status 200; the mismatch must not count as the endpoint's failure", out)
	}
	r.awaitIdle()
}
