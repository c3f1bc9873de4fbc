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

// In a graceful shutdown with open streams, the health service reports NOT_SERVING and the streams finish. The test also
// checks that a stream in observability mode gets no replies and that gRPC reflection lists the service.
func TestEndWithStreamsOpen(t *testing.T) {
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	b := testutil.NewBackend(t, func(http.ResponseWriter, *http.Request) { <-hold })
	t.Cleanup(release)
	r := startProcessor(t, []string{b.Addr()})
	observed := r.open(t.Context())
	m := requestHeaders(true, "/pay/x")
	m.ObservabilityMode = true
	observed.Send(m)
	observed.CloseSend()
	if reply, err := observed.Recv(); err != io.EOF {
		t.Errorf("stream in observability mode got reply %v, error %v; want io.EOF", reply, err)
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
		t.Errorf("reflection lists %v, error %v; want envoy.service.ext_proc.v3.ExternalProcessor", reply, err)
	}
	services.CloseSend()
	health, err := healthpb.NewHealthClient(r.conn).Watch(t.Context(), &healthpb.HealthCheckRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if h, err := health.Recv(); err != nil || h.Status != healthpb.HealthCheckResponse_SERVING {
		t.Fatalf("health before the shutdown: %v, error %v; want SERVING", h, err)
	}
	p := &proxy.Proxy{Conn: r.conn}
	defer p.Close()
	got := make(chan proxy.Result, 2)
	for _, path := range []string{"/pay/x", "/pick/pay/x"} {
		go func() {
			got <- p.Do(t.Context(), proxy.Request{Method: "GET", Path: path, Timeout: testutil.WaitTimeout})
		}()
		if path == "/pay/x" {
			testutil.Wait(t, b.Requests, "the forwarded request at its endpoint")
		}
	}
	testutil.Until(t, "both requests to be in flight", func() bool {
		return r.server.Stats.Forwarded.Load()+r.server.Stats.Picked.Load() == 2
	})
	if err := r.app.Apply(r.version([]string{b.Addr()})); err != nil { // a new configuration must not end open streams either
		t.Fatal(err)
	}
	r.stop()
	if h, err := health.Recv(); err == nil && h.Status != healthpb.HealthCheckResponse_NOT_SERVING {
		t.Errorf("health during the shutdown: %v, want NOT_SERVING", h)
	}
	release()
	for range 2 {
		if out := testutil.Wait(t, got, "the answer to a request that was in flight at the shutdown"); out.Status != 200 {
			t.Errorf("request that was in flight at the shutdown: %+v, want status 200", out)
		}
	}
}

// With mutual TLS and keys from files, a caller is served only if it presents a certificate.
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
	_, addrs := startBoxes(t, 1)
	change := []string{"[extproc]",
		"[keys]\nfolder = \"keys\"\n[extproc]\ntls = true\nclient_roots = \"ca\"\nclient_required = true"}
	for _, withCertificate := range []bool{true, false} {
		set := keys.ClientConfig(tlskeys.ServerAuth{ServerName: "front.test", Roots: "ca"})
		if withCertificate {
			set = keys.ClientConfig(tlskeys.ServerAuth{ServerName: "front.test", Roots: "ca", Certificate: "front.test"})
		}
		r := startProcessorWith(t, keys, credentials.NewTLS(set), addrs, change...)
		p := &proxy.Proxy{Conn: r.conn}
		out := p.Do(t.Context(), proxy.Request{Method: "GET", Path: "/x", Timeout: testutil.WaitTimeout})
		p.Close()
		if withCertificate != (out.Status == 200) {
			t.Errorf("client certificate presented: %v; got %+v, want status 200 only with a certificate", withCertificate, out)
		}
	}
}
