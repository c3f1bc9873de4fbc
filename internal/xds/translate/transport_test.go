package translate

import (
	"reflect"
	"strings"
	"testing"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	tlsv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/transport_sockets/tls/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"yokestall/internal/cluster"
)

// TestTransport checks the translation of HTTP/2 and TLS settings, and the rejection of unsupported ones.
func TestTransport(t *testing.T) {
	pack := func(m proto.Message) *anypb.Any {
		a, err := anypb.New(m)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	tls := func(m *tlsv3.UpstreamTlsContext) *corev3.TransportSocket {
		return &corev3.TransportSocket{
			Name: "tls", ConfigType: &corev3.TransportSocket_TypedConfig{TypedConfig: pack(m)},
		}
	}
	explicit := explicitHTTP2()
	inlineKeys := &tlsv3.CommonTlsContext{TlsCertificates: []*tlsv3.TlsCertificate{{}}}
	raw := &corev3.TransportSocket{
		Name: "raw", ConfigType: &corev3.TransportSocket_TypedConfig{TypedConfig: explicit},
	}
	named := &tlsv3.CommonTlsContext{
		TlsCertificateSdsSecretConfigs: []*tlsv3.SdsSecretConfig{{Name: "edge"}},
		ValidationContextType: &tlsv3.CommonTlsContext_ValidationContextSdsSecretConfig{
			ValidationContextSdsSecretConfig: &tlsv3.SdsSecretConfig{Name: "inside"},
		},
	}
	spki := func(pin string) *tlsv3.CommonTlsContext {
		return &tlsv3.CommonTlsContext{ValidationContextType: &tlsv3.CommonTlsContext_ValidationContext{
			ValidationContext: &tlsv3.CertificateValidationContext{VerifyCertificateSpki: []string{pin}}}}
	}
	pin := strings.Repeat("A", 43) + "="
	for _, tc := range []struct {
		name string
		in   *clusterv3.Cluster
		out  cluster.Transport
		says string
	}{
		{"nothing", &clusterv3.Cluster{}, cluster.Transport{}, ""},
		//lint:ignore SA1019 the test case is about the deprecated field
		{"HTTP/2, deprecated field", &clusterv3.Cluster{Http2ProtocolOptions: &corev3.Http2ProtocolOptions{}},
			cluster.Transport{HTTP2: true}, ""},
		{"HTTP/2", &clusterv3.Cluster{TypedExtensionProtocolOptions: map[string]*anypb.Any{httpProtocolOptionsKey: explicit}},
			cluster.Transport{HTTP2: true}, ""},
		{"TLS",
			&clusterv3.Cluster{TransportSocket: tls(&tlsv3.UpstreamTlsContext{Sni: "a.test", CommonTlsContext: named})},
			cluster.Transport{TLS: &cluster.TLS{ServerName: "a.test", Roots: "inside", Certificate: "edge"}}, ""},
		{"pins", &clusterv3.Cluster{TransportSocket: tls(&tlsv3.UpstreamTlsContext{CommonTlsContext: spki(pin)})},
			cluster.Transport{TLS: &cluster.TLS{Pins: []string{pin}}}, ""},
		{"a malformed pin",
			&clusterv3.Cluster{TransportSocket: tls(&tlsv3.UpstreamTlsContext{CommonTlsContext: spki("x")})},
			cluster.Transport{}, "SHA-256"},
		{"inline keys",
			&clusterv3.Cluster{TransportSocket: tls(&tlsv3.UpstreamTlsContext{CommonTlsContext: inlineKeys})},
			cluster.Transport{}, "inline"},
		{"another socket", &clusterv3.Cluster{TransportSocket: raw},
			cluster.Transport{}, "only UpstreamTlsContext"},
	} {
		out, err := transport(tc.in)
		if tc.says != "" {
			if err == nil || !strings.Contains(err.Error(), tc.says) {
				t.Errorf("%s: got error %v, want %q in it", tc.name, err, tc.says)
			}
		} else if err != nil || !reflect.DeepEqual(out, tc.out) {
			t.Errorf("%s: got transport %+v, error %v; want %+v and no error", tc.name, out, err, tc.out)
		}
	}
}
