package extproc_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"google.golang.org/grpc/credentials"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	reflectionpb "google.golang.org/grpc/reflection/grpc_reflection_v1"

	"yokestall/internal/fake/keymaker"
	"yokestall/internal/fake/proxy"
	"yokestall/internal/testutil"
	"yokestall/internal/tlskeys"
)

// Graceful shutdown with streams open: the health service reports it, and open streams finish. An observer's stream has
// no replies.
func TestEndWithStreamsOpen(t *testing.T) {
	hold := make(chan struct{})
	let := sync.OnceFunc(func() { close(hold) })
	b := testutil.NewBackend(t, func(http.ResponseWriter, *http.Request) { <-hold })
	t.Cleanup(let)
	r := start(t, []string{b.Addr()})
	watched := r.open(t.Context())
	m := head(true, "/pay/x")
	m.ObservabilityMode = true
	watched.Send(m)
	watched.CloseSend()
	if reply, err := watched.Recv(); err != io.EOF {
		t.Errorf("an observer gets %v, %v", reply, err)
	}
	services, err := reflectionpb.NewServerReflectionClient(r.conn).ServerReflectionInfo(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	services.Send(&reflectionpb.ServerReflectionRequest{
		MessageRequest: &reflectionpb.ServerReflectionRequest_ListServices{},
	})
	reply, err := services.Recv()
	if err != nil || !strings.Contains(reply.String(), "envoy.service.ext_proc.v3.ExternalProcessor") {
		t.Errorf("reflection: %v, %v", reply, err)
	}
	services.CloseSend()
	health, err := healthpb.NewHealthClient(r.conn).Watch(t.Context(), &healthpb.HealthCheckRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if h, err := health.Recv(); err != nil || h.Status != healthpb.HealthCheckResponse_SERVING {
		t.Fatalf("%v, %v", h, err)
	}
	p := &proxy.Proxy{Conn: r.conn}
	defer p.Close()
	got := make(chan proxy.Result, 2)
	for _, path := range []string{"/pay/x", "/pick/pay/x"} {
		go func() {
			got <- p.Do(t.Context(), proxy.Request{Method: "GET", Path: path, Timeout: testutil.WaitTimeout})
		}()
		if path == "/pay/x" {
			testutil.Wait(t, b.Requests, "the request at its server")
		}
	}
	testutil.Until(t, "both to be open", func() bool {
		return r.server.Stats.Forwarded.Load()+r.server.Stats.Picked.Load() == 2
	})
	if err := r.app.Apply(r.version([]string{b.Addr()})); err != nil { // a new configuration too
		t.Fatal(err)
	}
	r.stop()
	if h, err := health.Recv(); err == nil && h.Status != healthpb.HealthCheckResponse_NOT_SERVING {
		t.Errorf("%v", h)
	}
	let()
	for range 2 {
		if out := testutil.Wait(t, got, "an open one's answer"); out.Status != 200 {
			t.Errorf("%+v", out)
		}
	}
}

// Mutual TLS with keys from files.
func TestTLS(t *testing.T) {
	authority, err := keymaker.New("test")
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := authority.Write(folder, "front.test", "front.test"); err != nil {
		t.Fatal(err)
	}
	keys, err := tlskeys.Open(folder, "", testutil.Log(t))
	if err != nil {
		t.Fatal(err)
	}
	_, addrs := boxes(t, 1)
	change := []string{"[extproc]",
		"[keys]\nfolder = \"keys\"\n[extproc]\ntls = true\nclient_roots = \"ca\"\nclient_required = true"}
	for _, shows := range []bool{true, false} {
		set := keys.ClientConfig(tlskeys.ServerAuth{ServerName: "front.test", Roots: "ca"})
		if shows {
			set = keys.ClientConfig(tlskeys.ServerAuth{ServerName: "front.test", Roots: "ca", Certificate: "front.test"})
		}
		r := startWith(t, keys, credentials.NewTLS(set), addrs, change...)
		p := &proxy.Proxy{Conn: r.conn}
		out := p.Do(t.Context(), proxy.Request{Method: "GET", Path: "/x", Timeout: testutil.WaitTimeout})
		p.Close()
		if shows != (out.Status == 200) {
			t.Errorf("a certificate shown %v: %+v", shows, out)
		}
	}
}
