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

// A caller that does not report the outcome: after the request's deadline the attempt may have run, so that no other
// endpoint is named under its id.
func TestNeverTold(t *testing.T) {
	r := start(t, []string{"127.0.0.1:1"})
	for i := range 50 {
		fields := []string{"x-request-id", fmt.Sprint("n", i), "x-timeout-ms", "30"}
		first := r.open(t.Context())
		first.Send(head(true, "/pick/pay/x", fields...))
		if reply, err := first.Recv(); err != nil || named(reply) == "" {
			continue // a breaker is open by now
		}
		for over := false; !over; {
			again := r.open(t.Context())
			again.Send(head(true, "/pick/pay/x", fields...))
			reply, err := again.Recv()
			if named(reply) != "" || err != nil {
				t.Fatalf("turn %d: %v, %v", i, reply, err)
			}
			over = strings.Contains(string(reply.GetImmediateResponse().GetBody()), "may have run")
			again.CloseSend()
		}
		first.CloseSend()
	}
}

// A caller's own retry is named another endpoint where the class allows it; a request that is not idempotent and may
// have run is not.
func TestCallerRetries(t *testing.T) {
	const details = "upstream_reset_before_response_started{connection_failure}"
	refused, err := structpb.NewStruct(map[string]any{"response.code_details": details})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		path, code string
		connected  bool
		again      bool
	}{
		{"/pick/x", "500", true, true}, {"/pick/push/x", "500", true, true},
		{"/pick/pay/x", "500", true, false}, {"/pick/pay/x", "503", false, true}, {"/pick/pay/x", "", true, false},
	} {
		t.Run(tc.path+tc.code, func(t *testing.T) {
			first, second := "127.0.0.1:1", "127.0.0.1:2" // nobody connects to them
			r := start(t, []string{first}, `report = "200ms"`, `report = "30s"`)
			ask := func(count string) (callerStream, *pb.ProcessingResponse) {
				s := r.open(t.Context())
				s.Send(head(true, tc.path,
					"x-request-id", "one", "idempotency-key", "k", "x-envoy-attempt-count", count))
				reply, err := s.Recv()
				if err != nil {
					t.Fatal(err)
				}
				return s, reply
			}
			s, reply := ask("1")
			if named(reply) != first {
				t.Fatalf("%v", reply)
			}
			if err := r.app.Apply(r.version([]string{first, second})); err != nil {
				t.Fatal(err)
			}
			msg := answered(tc.code)
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
			got := named(reply)
			if tc.again != (got == second) || !tc.again && reply.GetImmediateResponse() == nil {
				t.Errorf("the retry gets %q, %v", got, reply.GetImmediateResponse())
			}
			if tc.again {
				s.Send(answered("200"))
				s.Recv()
			}
			s.CloseSend()
			r.quiet()
		})
	}
}

// An endpoint that was picked for a retry and removed before the caller's stream is not named, however recently it was
// removed: the caller sends only after that.
func TestGoneBeforeItIsNamed(t *testing.T) {
	first, second, third := "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
	r := start(t, []string{first}, `report = "200ms"`, `report = "30s"`)
	for i := range 20 {
		if err := r.app.Apply(r.version([]string{first})); err != nil {
			t.Fatal(err)
		}
		ask := func(count string) (callerStream, string) {
			s := r.open(t.Context())
			s.Send(head(true, "/pick/x", "x-request-id", fmt.Sprint("r", i), "x-envoy-attempt-count", count))
			reply, err := s.Recv()
			if err != nil {
				t.Fatal(err)
			}
			return s, named(reply)
		}
		s, got := ask("1")
		if got != first {
			continue // a breaker is open: it is refused
		}
		if err := r.app.Apply(r.version([]string{first, second})); err != nil {
			t.Fatal(err)
		}
		s.Send(answered("500"))
		s.Recv()
		s.CloseSend()
		s.Recv() // the second is chosen by now, or will be at once
		if err := r.app.Apply(r.version([]string{first, third})); err != nil {
			t.Fatal(err)
		}
		s, got = ask("2")
		if got == second {
			t.Errorf("turn %d: a server that was gone is named", i)
		}
		s.Send(answered("200"))
		s.Recv()
		s.CloseSend()
	}
}

// An endpoint that drains between the decision and the reply is not named: the request gets another one. A caller that
// uses an endpoint of its own is counted, and that is no failure of the named one.
func TestDrainBeforeTheSend(t *testing.T) {
	list, addrs := boxes(t, 2)
	r := start(t, addrs)
	p := &proxy.Proxy{Conn: r.conn, OtherServer: testutil.StartAppServer(t, "wrong").Addr()}
	defer p.Close()
	for i := range 30 {
		out := p.Do(t.Context(), proxy.Request{Method: "GET", Path: "/pick/x", Timeout: 5 * time.Second})
		if out.Status != 200 {
			t.Fatalf("%+v", out)
		}
		if i == 10 {
			if err := r.app.Apply(r.version(addrs[1:])); err != nil { // the first is gone
				t.Fatal(err)
			}
		}
		if i > 10 && out.Servers[0] == addrs[0] {
			t.Errorf("named %s after its removal", out.Servers[0])
		}
	}
	before := list[1].Count()
	ask := proxy.Request{Method: "GET", Path: "/pick/x", Timeout: 5 * time.Second}
	wrong := ask
	wrong.Fault = proxy.OtherServer
	out := p.Do(t.Context(), wrong)
	if n := r.server.Stats.EndpointMismatches.Load(); n != 1 || out.Status != 200 || list[1].Count() != before {
		t.Errorf("%d mismatches, %+v", n, out)
	}
	if out := p.Do(t.Context(), ask); out.Status != 200 {
		t.Errorf("it counts as a failure of the named endpoint: %+v", out)
	}
	r.quiet()
}
