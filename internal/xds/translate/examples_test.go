package translate

import (
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	uriv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/path/match/uri_template/v3"
	tlsv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/transport_sockets/tls/v3"
	upstreamv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/upstreams/http/v3"
	matcherv3 "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yokestall/internal/xds/ads"
)

var options = Options{Classes: []string{"read", "pay"}, DefaultClass: "read"}

// pack returns a message in an Any.
func pack(m proto.Message) *anypb.Any {
	a, err := anypb.New(m)
	if err != nil {
		panic(err)
	}
	return a
}

// metadataWith returns metadata with one key in the program's own namespace.
func metadataWith(key string, v any) *corev3.Metadata {
	value, err := structpb.NewValue(v)
	if err != nil {
		panic(err)
	}
	fields := &structpb.Struct{Fields: map[string]*structpb.Value{key: value}}
	return &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{Namespace: fields}}
}

func endpointAt(ip string, port uint32) *endpointv3.Endpoint {
	socket := &corev3.SocketAddress{Address: ip, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: port}}
	return &endpointv3.Endpoint{Address: &corev3.Address{
		Address: &corev3.Address_SocketAddress{SocketAddress: socket},
	}}
}

func baseCluster() *clusterv3.Cluster {
	return &clusterv3.Cluster{
		Name: "c", ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{}, CommonLbConfig: &clusterv3.Cluster_CommonLbConfig{},
		CircuitBreakers: &clusterv3.CircuitBreakers{
			Thresholds: []*clusterv3.CircuitBreakers_Thresholds{{MaxRequests: wrapperspb.UInt32(9)}},
		},
	}
}

func baseAssignment() *endpointv3.ClusterLoadAssignment {
	drop := &endpointv3.ClusterLoadAssignment_Policy_DropOverload{
		Category: "k", DropPercentage: &typev3.FractionalPercent{Numerator: 5},
	}
	return &endpointv3.ClusterLoadAssignment{
		ClusterName: "c",
		Policy: &endpointv3.ClusterLoadAssignment_Policy{
			DropOverloads: []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{drop},
		},
		Endpoints: []*endpointv3.LocalityLbEndpoints{{
			Locality: &corev3.Locality{Zone: "z"},
			LbEndpoints: []*endpointv3.LbEndpoint{{
				HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: endpointAt("10.0.0.1", 80)},
			}},
		}},
	}
}

// baseRoute returns a valid route configuration with one route, which has the action.
func baseRoute(action any) *routev3.RouteConfiguration {
	r := &routev3.Route{Name: "r", Match: &routev3.RouteMatch{
		PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: "/p"},
		Headers:       []*routev3.HeaderMatcher{{Name: "X-A"}},
	}}
	switch a := action.(type) {
	case *routev3.RouteAction:
		r.Action = &routev3.Route_Route{Route: a}
	case *routev3.RedirectAction:
		r.Action = &routev3.Route_Redirect{Redirect: a}
	case *routev3.DirectResponseAction:
		r.Action = &routev3.Route_DirectResponse{DirectResponse: a}
	}
	host := &routev3.VirtualHost{Name: "v", Domains: []string{"*"}, Routes: []*routev3.Route{r}}
	return &routev3.RouteConfiguration{Name: "main", VirtualHosts: []*routev3.VirtualHost{host}}
}

func plainAction() *routev3.RouteAction {
	return &routev3.RouteAction{
		ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: "c"}, RetryPolicy: &routev3.RetryPolicy{RetryOn: "5xx"},
	}
}

func weightedAction() *routev3.RouteAction {
	clusters := &routev3.WeightedCluster{Clusters: []*routev3.WeightedCluster_ClusterWeight{
		{Name: "a", Weight: wrapperspb.UInt32(1)}, {Name: "b", Weight: wrapperspb.UInt32(2)},
	}}
	return &routev3.RouteAction{
		ClusterSpecifier: &routev3.RouteAction_WeightedClusters{WeightedClusters: clusters},
	}
}

func connectionManager() *hcmv3.HttpConnectionManager {
	return &hcmv3.HttpConnectionManager{
		RouteSpecifier: &hcmv3.HttpConnectionManager_Rds{Rds: &hcmv3.Rds{RouteConfigName: "main"}},
	}
}

func listenerWith(m *hcmv3.HttpConnectionManager) *listenerv3.Listener {
	return &listenerv3.Listener{Name: "l", ApiListener: &listenerv3.ApiListener{ApiListener: pack(m)}}
}

// filterChain returns a filter chain with an HTTP connection manager.
func filterChain(m *hcmv3.HttpConnectionManager) *listenerv3.FilterChain {
	filter := &listenerv3.Filter{ConfigType: &listenerv3.Filter_TypedConfig{TypedConfig: pack(m)}}
	return &listenerv3.FilterChain{Filters: []*listenerv3.Filter{filter}}
}

// explicitHTTP2 returns the protocol options of HTTP/2.
func explicitHTTP2() *anypb.Any {
	config := &upstreamv3.HttpProtocolOptions_ExplicitHttpConfig{
		ProtocolConfig: &upstreamv3.HttpProtocolOptions_ExplicitHttpConfig_Http2ProtocolOptions{
			Http2ProtocolOptions: &corev3.Http2ProtocolOptions{},
		},
	}
	return pack(&upstreamv3.HttpProtocolOptions{
		UpstreamProtocolOptions: &upstreamv3.HttpProtocolOptions_ExplicitHttpConfig_{ExplicitHttpConfig: config},
	})
}

// subject is a message to test, in a valid resource of the type t. make returns the message as part, and as whole a
// function that returns the resource with the changes that were made to part.
type subject struct {
	t    ads.Type
	make func() (whole func() proto.Message, part proto.Message)
}

// newSubject returns the subject of a message in the resource that base returns.
func newSubject[M proto.Message](t ads.Type, base func() M, part func(M) proto.Message) subject {
	return subject{t, func() (func() proto.Message, proto.Message) {
		b := base()
		return func() proto.Message { return b }, part(b)
	}}
}

type (
	assignment = *endpointv3.ClusterLoadAssignment
	routes     = *routev3.RouteConfiguration
)

// newRouteSubject returns the subject of a message in a route configuration whose route has an action.
func newRouteSubject[A any](action func() A, part func(routes) proto.Message) subject {
	return newSubject(ads.Route, func() routes { return baseRoute(action()) }, part)
}

func routeOf(c routes) *routev3.Route { return c.VirtualHosts[0].Routes[0] }

var subjects = []subject{
	newSubject(ads.Cluster, baseCluster, func(c *clusterv3.Cluster) proto.Message { return c }),
	newSubject(ads.Cluster, baseCluster, func(c *clusterv3.Cluster) proto.Message { return c.EdsClusterConfig }),
	newSubject(ads.Cluster, baseCluster, func(c *clusterv3.Cluster) proto.Message { return c.CommonLbConfig }),
	newSubject(ads.Cluster, baseCluster, func(c *clusterv3.Cluster) proto.Message { return c.CircuitBreakers.Thresholds[0] }),
	newSubject(ads.Endpoint, baseAssignment, func(a assignment) proto.Message { return a }),
	newSubject(ads.Endpoint, baseAssignment, func(a assignment) proto.Message { return a.Policy }),
	newSubject(ads.Endpoint, baseAssignment, func(a assignment) proto.Message { return a.Policy.DropOverloads[0] }),
	newSubject(ads.Endpoint, baseAssignment, func(a assignment) proto.Message { return a.Endpoints[0] }),
	newSubject(ads.Endpoint, baseAssignment, func(a assignment) proto.Message { return a.Endpoints[0].LbEndpoints[0] }),
	newSubject(ads.Endpoint, baseAssignment, func(a assignment) proto.Message {
		return a.Endpoints[0].LbEndpoints[0].GetEndpoint()
	}),
	newRouteSubject(plainAction, func(c routes) proto.Message { return c }),
	newRouteSubject(plainAction, func(c routes) proto.Message { return c.VirtualHosts[0] }),
	newRouteSubject(plainAction, func(c routes) proto.Message { return routeOf(c) }),
	newRouteSubject(plainAction, func(c routes) proto.Message { return routeOf(c).Match }),
	newRouteSubject(plainAction, func(c routes) proto.Message { return routeOf(c).Match.Headers[0] }),
	newRouteSubject(plainAction, func(c routes) proto.Message { return routeOf(c).GetRoute() }),
	newRouteSubject(plainAction, func(c routes) proto.Message { return routeOf(c).GetRoute().RetryPolicy }),
	newRouteSubject(weightedAction, func(c routes) proto.Message { return routeOf(c).GetRoute().GetWeightedClusters() }),
	newRouteSubject(weightedAction, func(c routes) proto.Message {
		return routeOf(c).GetRoute().GetWeightedClusters().Clusters[0]
	}),
	newRouteSubject(func() *routev3.RedirectAction { return &routev3.RedirectAction{} },
		func(c routes) proto.Message { return routeOf(c).GetRedirect() }),
	newRouteSubject(func() *routev3.DirectResponseAction { return &routev3.DirectResponseAction{Status: 404} },
		func(c routes) proto.Message { return routeOf(c).GetDirectResponse() }),
	newSubject(ads.Listener, func() *listenerv3.Listener { return listenerWith(connectionManager()) },
		func(l *listenerv3.Listener) proto.Message { return l }),
	{ads.Listener, func() (func() proto.Message, proto.Message) {
		m := connectionManager()
		return func() proto.Message { return listenerWith(m) }, m
	}},
}

// examples has functions that set a field, for fields on which a value from setOrClear would have no visible effect.
var examples = map[string]func(proto.Message){
	"Cluster.typed_extension_protocol_options": func(m proto.Message) {
		m.(*clusterv3.Cluster).TypedExtensionProtocolOptions = map[string]*anypb.Any{httpProtocolOptionsKey: explicitHTTP2()}
	},
	"Cluster.transport_socket": func(m proto.Message) {
		m.(*clusterv3.Cluster).TransportSocket = &corev3.TransportSocket{Name: "tls", ConfigType: &corev3.TransportSocket_TypedConfig{
			TypedConfig: pack(&tlsv3.UpstreamTlsContext{Sni: "a.test"})}}
	},
	"Cluster.load_assignment": func(m proto.Message) {
		c := m.(*clusterv3.Cluster)
		c.ClusterDiscoveryType, c.LoadAssignment = &clusterv3.Cluster_Type{Type: clusterv3.Cluster_STATIC}, baseAssignment()
	},
	"Cluster.eds_cluster_config": func(m proto.Message) {
		m.(*clusterv3.Cluster).EdsClusterConfig = &clusterv3.Cluster_EdsClusterConfig{ServiceName: "s"}
	},
	"Cluster.common_lb_config": func(m proto.Message) {
		m.(*clusterv3.Cluster).CommonLbConfig.LocalityConfigSpecifier =
			&clusterv3.Cluster_CommonLbConfig_LocalityWeightedLbConfig_{
				LocalityWeightedLbConfig: &clusterv3.Cluster_CommonLbConfig_LocalityWeightedLbConfig{},
			}
	},
	"Cluster.connect_timeout": func(m proto.Message) {
		m.(*clusterv3.Cluster).ConnectTimeout = durationpb.New(time.Second)
	},
	"Thresholds.max_connections": func(m proto.Message) {
		m.(*clusterv3.CircuitBreakers_Thresholds).MaxConnections = wrapperspb.UInt32(3)
	},
	"Thresholds.max_pending_requests": func(m proto.Message) {
		m.(*clusterv3.CircuitBreakers_Thresholds).MaxPendingRequests = wrapperspb.UInt32(3)
	},
	"Thresholds.max_retries": func(m proto.Message) {
		m.(*clusterv3.CircuitBreakers_Thresholds).MaxRetries = wrapperspb.UInt32(3)
	},
	"ClusterLoadAssignment.endpoints": func(m proto.Message) { m.(assignment).Endpoints = nil },
	"LocalityLbEndpoints.load_balancing_weight": func(m proto.Message) {
		m.(*endpointv3.LocalityLbEndpoints).LoadBalancingWeight = wrapperspb.UInt32(3)
	},
	"LbEndpoint.health_status": func(m proto.Message) {
		m.(*endpointv3.LbEndpoint).HealthStatus = corev3.HealthStatus_DRAINING
	},
	"LbEndpoint.load_balancing_weight": func(m proto.Message) {
		m.(*endpointv3.LbEndpoint).LoadBalancingWeight = wrapperspb.UInt32(3)
	},
	"LbEndpoint.metadata": func(m proto.Message) {
		m.(*endpointv3.LbEndpoint).Metadata = metadataWith("id", "app-1")
	},
	"RouteConfiguration.metadata": func(m proto.Message) { m.(routes).Metadata = metadataWith("class", "pay") },
	"VirtualHost.retry_policy": func(m proto.Message) {
		v := m.(*routev3.VirtualHost)
		v.Routes[0].GetRoute().RetryPolicy, v.RetryPolicy = nil, &routev3.RetryPolicy{RetryOn: "5xx", NumRetries: wrapperspb.UInt32(7)}
	},
	"VirtualHost.metadata": func(m proto.Message) { // uses typed_filter_metadata
		x := metadataWith("class", "pay").FilterMetadata[Namespace]
		m.(*routev3.VirtualHost).Metadata = &corev3.Metadata{TypedFilterMetadata: map[string]*anypb.Any{Namespace: pack(x)}}
	},
	"Route.metadata": func(m proto.Message) { m.(*routev3.Route).Metadata = metadataWith("class", "pay") },
	"RouteMatch.path_match_policy": func(m proto.Message) {
		m.(*routev3.RouteMatch).PathSpecifier = &routev3.RouteMatch_PathMatchPolicy{PathMatchPolicy: &corev3.TypedExtensionConfig{
			TypedConfig: pack(&uriv3.UriTemplateMatchConfig{PathTemplate: "/a/{b}"}),
		}}
	},
	"RouteMatch.case_sensitive": func(m proto.Message) {
		m.(*routev3.RouteMatch).CaseSensitive = wrapperspb.Bool(false)
	},
	"HeaderMatcher.present_match": func(m proto.Message) {
		m.(*routev3.HeaderMatcher).HeaderMatchSpecifier = &routev3.HeaderMatcher_PresentMatch{}
	},
	"HeaderMatcher.string_match": func(m proto.Message) {
		m.(*routev3.HeaderMatcher).HeaderMatchSpecifier = &routev3.HeaderMatcher_StringMatch{StringMatch: &matcherv3.StringMatcher{
			MatchPattern: &matcherv3.StringMatcher_Suffix{Suffix: "z"}, IgnoreCase: true,
		}}
	},
	"RouteAction.timeout": func(m proto.Message) {
		m.(*routev3.RouteAction).Timeout = durationpb.New(time.Second)
	},
	"RetryPolicy.num_retries": func(m proto.Message) { m.(*routev3.RetryPolicy).NumRetries = wrapperspb.UInt32(7) },
	"RetryPolicy.per_try_timeout": func(m proto.Message) {
		m.(*routev3.RetryPolicy).PerTryTimeout = durationpb.New(time.Second)
	},
	"DirectResponseAction.body": func(m proto.Message) {
		m.(*routev3.DirectResponseAction).Body = &corev3.DataSource{Specifier: &corev3.DataSource_InlineString{InlineString: "no"}}
	},
	"Listener.filter_chains": func(m proto.Message) {
		l := m.(*listenerv3.Listener)
		l.ApiListener = nil
		x := connectionManager()
		x.GetRds().RouteConfigName = "other"
		l.FilterChains = []*listenerv3.FilterChain{filterChain(x)}
	},
	"Listener.default_filter_chain": func(m proto.Message) {
		x := connectionManager()
		x.GetRds().RouteConfigName = "other"
		m.(*listenerv3.Listener).DefaultFilterChain = filterChain(x)
	},
}

// setOrClear sets a field to an arbitrary value, or clears the field if it is set.
func setOrClear(m protoreflect.Message, f protoreflect.FieldDescriptor) {
	scalar := func() protoreflect.Value {
		switch f.Kind() {
		case protoreflect.BoolKind:
			return protoreflect.ValueOfBool(true)
		case protoreflect.StringKind:
			return protoreflect.ValueOfString("x")
		case protoreflect.BytesKind:
			return protoreflect.ValueOfBytes([]byte("x"))
		case protoreflect.EnumKind:
			return protoreflect.ValueOfEnum(1)
		case protoreflect.Uint64Kind:
			return protoreflect.ValueOfUint64(1)
		case protoreflect.Int32Kind, protoreflect.Sint32Kind:
			return protoreflect.ValueOfInt32(1)
		case protoreflect.Int64Kind:
			return protoreflect.ValueOfInt64(1)
		case protoreflect.DoubleKind:
			return protoreflect.ValueOfFloat64(1)
		}
		return protoreflect.ValueOfUint32(1)
	}
	switch {
	case m.Has(f):
		m.Clear(f)
	case f.IsMap():
		v := m.Mutable(f).Map()
		if f.MapValue().Kind() == protoreflect.MessageKind {
			v.Set(protoreflect.ValueOfString("x").MapKey(), v.NewValue())
		} else {
			v.Set(protoreflect.ValueOfString("x").MapKey(), protoreflect.ValueOfString("x"))
		}
	case f.IsList() && f.Kind() == protoreflect.MessageKind:
		m.Mutable(f).List().AppendMutable()
	case f.IsList():
		m.Mutable(f).List().Append(scalar())
	case f.Kind() == protoreflect.MessageKind:
		m.Mutable(f)
	default:
		m.Set(f, scalar())
	}
}
