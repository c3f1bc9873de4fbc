package translate

import (
	"fmt"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// notSupported is the reason for which most fields are rejected.
const notSupported = "is not supported by this program"

// rejectedFields maps the names of a message's rejected fields to the reasons.
type rejectedFields map[string]string

// rejectFields returns an error that names a field if m has a field in rejected.
func rejectFields(m protoreflect.Message, rejected rejectedFields) (err error) {
	m.Range(func(f protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
		if reason, found := rejected[string(f.Name())]; found {
			err = fmt.Errorf("%s: %s", f.Name(), reason)
		}
		return err == nil
	})
	return err
}

// The following maps are the rejected fields of each message; docs/xds-fields.md has the reasons in detail.
var (
	rejectedInCluster = rejectedFields{
		"transport_socket_matches": "TLS per endpoint " + notSupported,
		"upstream_bind_config":     notSupported,
		"filters":                  notSupported,
		"lb_subset_config":         notSupported,
	}
	rejectedInAssignment = rejectedFields{"named_endpoints": notSupported}
	rejectedInLocality   = rejectedFields{
		"load_balancer_endpoints":      notSupported,
		"leds_cluster_locality_config": notSupported,
	}
	rejectedInEndpoint          = rejectedFields{"endpoint_name": "a named endpoint " + notSupported}
	rejectedInConnectionManager = rejectedFields{"scoped_routes": notSupported}
	rejectedInRouteConfig       = rejectedFields{
		"vhds":                      notSupported,
		"cluster_specifier_plugins": notSupported,
		"ignore_path_parameters_in_path_matching": notSupported,
	}
	rejectedInVirtualHost = rejectedFields{
		"matcher":                   notSupported,
		"require_tls":               notSupported,
		"retry_policy_typed_config": notSupported,
	}
	rejectedInRoute = rejectedFields{
		"filter_action":         notSupported,
		"non_forwarding_action": notSupported,
	}
	rejectedInRouteMatch = rejectedFields{
		"connect_matcher":  notSupported,
		"runtime_fraction": notSupported,
		"query_parameters": notSupported,
		"cookies":          notSupported,
		"grpc":             notSupported,
		"tls_context":      notSupported,
		"dynamic_metadata": notSupported,
		"filter_state":     notSupported,
	}
	rejectedInHeaderMatcher = rejectedFields{
		"range_match":                   notSupported,
		"treat_missing_header_as_empty": notSupported,
	}
	rejectedInRouteAction = rejectedFields{
		"cluster_header":                  notSupported,
		"cluster_specifier_plugin":        notSupported,
		"inline_cluster_specifier_plugin": notSupported,
		"metadata_match":                  notSupported,
		"prefix_rewrite":                  notSupported,
		"regex_rewrite":                   notSupported,
		"path_rewrite_policy":             notSupported,
		"path_rewrite":                    notSupported,
		"host_rewrite_literal":            notSupported,
		"auto_host_rewrite":               notSupported,
		"host_rewrite_header":             notSupported,
		"host_rewrite_path_regex":         notSupported,
		"host_rewrite":                    notSupported,
		"retry_policy_typed_config":       notSupported,
		"internal_redirect_policy":        notSupported,
		"internal_redirect_action":        notSupported,
	}
	rejectedInWeightedCluster = rejectedFields{
		"cluster_header":       notSupported,
		"metadata_match":       notSupported,
		"host_rewrite_literal": notSupported,
	}
	rejectedInRedirect = rejectedFields{
		"regex_rewrite": notSupported,
		"path_rewrite":  notSupported,
	}
	rejectedInDirectResponse = rejectedFields{"body_format": notSupported}
)
