package translate

import (
	"encoding/base64"
	"errors"
	"fmt"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	tlsv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/transport_sockets/tls/v3"
	upstreamv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/upstreams/http/v3"

	"yokestall/internal/cluster"
)

// protocolOptions is the key of upstreams.http.v3.HttpProtocolOptions in a cluster's
// typed_extension_protocol_options.
const protocolOptions = "envoy.extensions.upstreams.http.v3.HttpProtocolOptions"

// transport gives how a cluster's servers are spoken to. Keys are not taken from the control
// plane: secrets are named, and have to be entries of the program's own keys.
func transport(c *clusterv3.Cluster) (out cluster.Transport, err error) {
	//lint:ignore SA1019 control planes in use still send the deprecated field
	out.HTTP2 = c.GetHttp2ProtocolOptions() != nil
	if a := c.GetTypedExtensionProtocolOptions()[protocolOptions]; a != nil {
		var m upstreamv3.HttpProtocolOptions
		if err := unmarshal(a, &m); err != nil {
			return out, fmt.Errorf("typed_extension_protocol_options: %w", err)
		}
		if e := m.GetExplicitHttpConfig(); e != nil {
			if e.GetHttp3ProtocolOptions() != nil {
				return out, errors.New("typed_extension_protocol_options: HTTP/3 " + notYet)
			}
			out.HTTP2 = e.GetHttp2ProtocolOptions() != nil
		}
	}
	socket := c.GetTransportSocket()
	if socket == nil {
		return out, nil
	}
	var m tlsv3.UpstreamTlsContext
	a := socket.GetTypedConfig()
	if !a.MessageIs(&m) {
		return out, fmt.Errorf("transport_socket: %.64s: UpstreamTlsContext alone is taken", socket.GetName())
	}
	if err := unmarshal(a, &m); err != nil {
		return out, fmt.Errorf("transport_socket: %w", err)
	}
	common := m.GetCommonTlsContext()
	t := &cluster.TLS{Name: m.GetSni()}
	if len(common.GetTlsCertificates()) > 0 || len(common.GetValidationContext().GetTrustedCa().GetInlineBytes()) > 0 ||
		common.GetValidationContext().GetTrustedCa().GetInlineString() != "" {
		return out, errors.New("transport_socket: keys that come inline are not taken; name entries of [keys] by SDS")
	}
	if list := common.GetTlsCertificateSdsSecretConfigs(); len(list) > 0 {
		t.Certificate = list[0].GetName()
	}
	validation := common.GetValidationContext()
	if combined := common.GetCombinedValidationContext(); combined != nil {
		validation, t.Roots = combined.GetDefaultValidationContext(), combined.GetValidationContextSdsSecretConfig().GetName()
	}
	if s := common.GetValidationContextSdsSecretConfig(); s != nil {
		t.Roots = s.GetName()
	}
	for _, pin := range validation.GetVerifyCertificateSpki() {
		if sum, err := base64.StdEncoding.DecodeString(pin); err != nil || len(sum) != 32 {
			return out, fmt.Errorf("transport_socket: verify_certificate_spki: %.64q is no SHA-256 in base 64", pin)
		}
		t.Pins = append(t.Pins, pin)
	}
	out.TLS = t
	return out, nil
}
