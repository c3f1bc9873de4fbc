package translate

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	tlsv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/transport_sockets/tls/v3"
	upstreamv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/upstreams/http/v3"

	"yokestall/internal/cluster"
)

// httpProtocolOptionsKey is the key of upstreams.http.v3.HttpProtocolOptions in a cluster's
// typed_extension_protocol_options.
const httpProtocolOptionsKey = "envoy.extensions.upstreams.http.v3.HttpProtocolOptions"

// transport translates the protocol settings of a cluster: HTTP/2 and TLS to its endpoints.
func transport(c *clusterv3.Cluster) (out cluster.Transport, err error) {
	if out.HTTP2, err = usesHTTP2(c); err != nil {
		return out, err
	}
	if socket := c.GetTransportSocket(); socket != nil {
		out.TLS, err = upstreamTLS(socket)
	}
	return out, err
}

// usesHTTP2 reports whether a cluster uses HTTP/2. An explicit protocol in the typed options has precedence over the
// deprecated field.
func usesHTTP2(c *clusterv3.Cluster) (bool, error) {
	//lint:ignore SA1019 control planes in use still send the deprecated field
	http2 := c.GetHttp2ProtocolOptions() != nil
	a := c.GetTypedExtensionProtocolOptions()[httpProtocolOptionsKey]
	if a == nil {
		return http2, nil
	}
	var m upstreamv3.HttpProtocolOptions
	if err := unmarshal(a, &m); err != nil {
		return false, fmt.Errorf("typed_extension_protocol_options: %w", err)
	}
	explicit := m.GetExplicitHttpConfig()
	switch {
	case explicit == nil:
		return http2, nil
	case explicit.GetHttp3ProtocolOptions() != nil:
		return false, errors.New("typed_extension_protocol_options: HTTP/3 " + notSupported)
	}
	return explicit.GetHttp2ProtocolOptions() != nil, nil
}

// upstreamTLS translates the TLS settings for connections to endpoints. Keys are not accepted from the control plane:
// a resource has to refer by SDS secret names to entries of the program's own keys.
func upstreamTLS(socket *corev3.TransportSocket) (*cluster.TLS, error) {
	var m tlsv3.UpstreamTlsContext
	a := socket.GetTypedConfig()
	if !a.MessageIs(&m) {
		return nil, fmt.Errorf("transport_socket: %.64s: only UpstreamTlsContext is supported", socket.GetName())
	}
	if err := unmarshal(a, &m); err != nil {
		return nil, fmt.Errorf("transport_socket: %w", err)
	}
	common := m.GetCommonTlsContext()
	if hasInlineKeys(common) {
		return nil, errors.New("transport_socket: inline keys and roots are not supported; name entries of [keys] by SDS")
	}
	t := &cluster.TLS{ServerName: m.GetSni()}
	if list := common.GetTlsCertificateSdsSecretConfigs(); len(list) > 0 {
		t.Certificate = list[0].GetName()
	}
	validation := common.GetValidationContext()
	if combined := common.GetCombinedValidationContext(); combined != nil {
		validation = combined.GetDefaultValidationContext()
		t.Roots = combined.GetValidationContextSdsSecretConfig().GetName()
	}
	if s := common.GetValidationContextSdsSecretConfig(); s != nil {
		t.Roots = s.GetName()
	}
	for _, pin := range validation.GetVerifyCertificateSpki() {
		if sum, err := base64.StdEncoding.DecodeString(pin); err != nil || len(sum) != sha256.Size {
			return nil, fmt.Errorf("transport_socket: verify_certificate_spki: %.64q is not a SHA-256 in base64", pin)
		}
		t.Pins = append(t.Pins, pin)
	}
	return t, nil
}

// hasInlineKeys reports whether the TLS context includes certificates or trusted roots inline.
func hasInlineKeys(common *tlsv3.CommonTlsContext) bool {
	roots := common.GetValidationContext().GetTrustedCa()
	return len(common.GetTlsCertificates()) > 0 || len(roots.GetInlineBytes()) > 0 || roots.GetInlineString() != ""
}
