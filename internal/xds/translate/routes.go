package translate

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	uriv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/path/match/uri_template/v3"
	matcherv3 "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"

	"yokestall/internal/config"
	"yokestall/internal/route"
)

// Routes is what of a route.v3.RouteConfiguration matters here.
type Routes struct {
	Hosts   []route.VirtualHost
	Classes []config.Class  // beside the program's own
	Tenants []config.Tenant // in place of the program's own, if any
	Table   *route.Table
}

func (o *Options) routes(c *routev3.RouteConfiguration) (*Routes, error) {
	if err := refuse(c.ProtoReflect(), routesRefused); err != nil {
		return nil, err
	}
	own, err := ownMetadata(c.GetMetadata(), "class", "classes", "tenants")
	if err != nil {
		return nil, err
	}
	out := &Routes{}
	parts, err := text(own, "classes", "tenants")
	if err != nil {
		return nil, fmt.Errorf("metadata %s: %w", Namespace, err)
	}
	if out.Classes, out.Tenants, err = config.ParseClasses(parts); err != nil {
		return nil, fmt.Errorf("metadata %s: %w", Namespace, err)
	}
	known := slices.Clone(o.Classes)
	for _, k := range out.Classes {
		if slices.Contains(known, k.Name) {
			return nil, fmt.Errorf("metadata %s: class %s is the program's own too", Namespace, k.Name)
		}
		known = append(known, k.Name)
	}
	count := 0
	standard := cmp.Or(own["class"].GetStringValue(), o.Class)
	for i, v := range c.GetVirtualHosts() {
		where := func(err error) error { return fmt.Errorf("virtual_hosts %d (%.64s): %w", i+1, v.GetName(), err) }
		if err := refuse(v.ProtoReflect(), hostRefused); err != nil {
			return nil, where(err)
		}
		own, err := ownMetadata(v.GetMetadata(), "class")
		if err != nil {
			return nil, where(err)
		}
		class := cmp.Or(own["class"].GetStringValue(), standard)
		h := route.VirtualHost{Name: v.GetName(), Domains: v.GetDomains()}
		for j, r := range v.GetRoutes() {
			if count++; count > route.MaxRoutes {
				return nil, fmt.Errorf("more than %d routes", route.MaxRoutes)
			}
			one, err := o.route(r, v.GetRetryPolicy(), class)
			if err == nil && one.Answer == nil && !o.AnyClass && !slices.Contains(known, one.Class) {
				err = fmt.Errorf("class %q is not known", one.Class)
				if one.Class == "" {
					err = fmt.Errorf("names no class: metadata %s: class", Namespace)
				}
			}
			if err != nil {
				return nil, where(fmt.Errorf("routes %d (%.64s): %w", j+1, r.GetName(), err))
			}
			h.Routes = append(h.Routes, one)
		}
		out.Hosts = append(out.Hosts, h)
	}
	out.Table, err = route.Compile(out.Hosts)
	return out, err
}

func (o *Options) route(r *routev3.Route, retry *routev3.RetryPolicy, class string) (out route.Route, err error) {
	out.Name = r.GetName()
	if err := refuse(r.ProtoReflect(), routeRefused); err != nil {
		return out, err
	}
	own, err := ownMetadata(r.GetMetadata(), "class")
	if err != nil {
		return out, err
	}
	out.Class = cmp.Or(own["class"].GetStringValue(), class)
	if err := match(r.GetMatch(), &out); err != nil {
		return out, fmt.Errorf("match: %w", err)
	}
	switch a := r.GetAction().(type) {
	case *routev3.Route_Route:
		err = action(a.Route, retry, &out)
	case *routev3.Route_Redirect:
		err = redirect(a.Redirect, &out)
	case *routev3.Route_DirectResponse:
		err = directAnswer(a.DirectResponse, &out)
	default:
		err = errors.New("has no action")
	}
	return out, err
}

func directAnswer(d *routev3.DirectResponseAction, out *route.Route) error {
	if err := refuse(d.ProtoReflect(), directRefused); err != nil {
		return fmt.Errorf("direct_response: %w", err)
	}
	text := ""
	switch b := d.GetBody().GetSpecifier().(type) {
	case nil:
	case *corev3.DataSource_InlineString:
		text = b.InlineString
	case *corev3.DataSource_InlineBytes:
		text = string(b.InlineBytes)
	default:
		return errors.New("direct_response.body: only inline bodies are taken")
	}
	switch {
	case len(text) > 4096:
		return errors.New("direct_response.body: over 4096 bytes")
	case d.GetStatus() < 200 || d.GetStatus() > 599:
		return fmt.Errorf("direct_response.status: %d is not from 200 to 599", d.GetStatus())
	}
	out.Answer = &route.Answer{Status: int(d.GetStatus()), Text: text}
	return nil
}

func match(m *routev3.RouteMatch, out *route.Route) error {
	if err := refuse(m.ProtoReflect(), matchRefused); err != nil {
		return err
	}
	fold := m.GetCaseSensitive() != nil && !m.GetCaseSensitive().GetValue()
	// pattern is the path as an expression, where its own kind can't say it.
	pattern := func(literal, rest string) {
		out.Kind, out.Path = route.Regex, regexp.QuoteMeta(literal)+rest
		if fold {
			out.Path = "(?i)" + out.Path
		}
	}
	switch p := m.GetPathSpecifier().(type) {
	case *routev3.RouteMatch_Prefix:
		if out.Kind, out.Path = route.Prefix, p.Prefix; fold {
			pattern(p.Prefix, "(?s:.*)")
		}
	case *routev3.RouteMatch_Path:
		if out.Kind, out.Path = route.Exact, p.Path; fold {
			pattern(p.Path, "")
		}
	case *routev3.RouteMatch_PathSeparatedPrefix:
		if !strings.HasPrefix(p.PathSeparatedPrefix, "/") || strings.ContainsAny(p.PathSeparatedPrefix, "?#") || strings.HasSuffix(p.PathSeparatedPrefix, "/") {
			return fmt.Errorf("path_separated_prefix: %.64q", p.PathSeparatedPrefix)
		}
		pattern(p.PathSeparatedPrefix, "(?s:/.*)?")
	case *routev3.RouteMatch_SafeRegex:
		out.Kind, out.Path = route.Regex, p.SafeRegex.GetRegex()
	case *routev3.RouteMatch_PathMatchPolicy:
		var t uriv3.UriTemplateMatchConfig
		if a := p.PathMatchPolicy.GetTypedConfig(); !a.MessageIs(&t) || a.UnmarshalTo(&t) != nil {
			return errors.New("path_match_policy: only uri_template is taken")
		}
		out.Kind, out.Path = route.Template, t.GetPathTemplate()
	default:
		return errors.New("has no path")
	}
	for i, h := range m.GetHeaders() {
		if err := header(h, out); err != nil {
			return fmt.Errorf("headers %d (%.64s): %w", i+1, h.GetName(), err)
		}
	}
	return nil
}

func header(h *routev3.HeaderMatcher, out *route.Route) error {
	if err := refuse(h.ProtoReflect(), headerRefused); err != nil {
		return err
	}
	c := route.Header{Name: h.GetName(), Invert: h.GetInvertMatch()}
	switch m := h.GetHeaderMatchSpecifier().(type) {
	case nil:
		c.Kind = route.HeaderPresent
	case *routev3.HeaderMatcher_PresentMatch:
		c.Kind, c.Invert = route.HeaderPresent, c.Invert == m.PresentMatch
	case *routev3.HeaderMatcher_ExactMatch:
		//lint:ignore SA1019 control planes in use still send the deprecated forms
		c.Kind, c.Value = route.HeaderExact, m.ExactMatch
	case *routev3.HeaderMatcher_PrefixMatch:
		//lint:ignore SA1019 control planes in use still send the deprecated forms
		c.Kind, c.Value = route.HeaderPrefix, m.PrefixMatch
	case *routev3.HeaderMatcher_SuffixMatch:
		//lint:ignore SA1019 control planes in use still send the deprecated forms
		c.Kind, c.Value = route.HeaderSuffix, m.SuffixMatch
	case *routev3.HeaderMatcher_ContainsMatch:
		//lint:ignore SA1019 control planes in use still send the deprecated forms
		c.Kind, c.Value = route.HeaderContains, m.ContainsMatch
	case *routev3.HeaderMatcher_SafeRegexMatch:
		//lint:ignore SA1019 control planes in use still send the deprecated forms
		c.Kind, c.Value = route.HeaderRegex, m.SafeRegexMatch.GetRegex()
	case *routev3.HeaderMatcher_StringMatch:
		if err := stringMatch(m.StringMatch, &c); err != nil {
			return err
		}
	default:
		return errors.New("the kind of match is unknown")
	}
	if !strings.HasPrefix(c.Name, ":") {
		out.Headers = append(out.Headers, c)
		return nil
	}
	if c.Name != ":method" || c.Kind != route.HeaderExact || c.Invert || len(out.Methods) > 0 {
		return errors.New("of the pseudo-headers only an exact :method is taken")
	}
	out.Methods = []string{c.Value}
	return nil
}

func stringMatch(m *matcherv3.StringMatcher, c *route.Header) error {
	fold := func(before, literal, after string) {
		if m.GetIgnoreCase() {
			c.Kind, c.Value = route.HeaderRegex, "(?i)"+before+regexp.QuoteMeta(literal)+after
		}
	}
	const anyText = "(?s:.*)"
	switch p := m.GetMatchPattern().(type) {
	case *matcherv3.StringMatcher_Exact:
		c.Kind, c.Value = route.HeaderExact, p.Exact
		fold("", p.Exact, "")
	case *matcherv3.StringMatcher_Prefix:
		c.Kind, c.Value = route.HeaderPrefix, p.Prefix
		fold("", p.Prefix, anyText)
	case *matcherv3.StringMatcher_Suffix:
		c.Kind, c.Value = route.HeaderSuffix, p.Suffix
		fold(anyText, p.Suffix, "")
	case *matcherv3.StringMatcher_Contains:
		c.Kind, c.Value = route.HeaderContains, p.Contains
		fold(anyText, p.Contains, anyText)
	case *matcherv3.StringMatcher_SafeRegex:
		c.Kind, c.Value = route.HeaderRegex, p.SafeRegex.GetRegex()
	default:
		return errors.New("string_match: the kind of match is not taken")
	}
	return nil
}

func action(a *routev3.RouteAction, retry *routev3.RetryPolicy, out *route.Route) error {
	if err := refuse(a.ProtoReflect(), actionRefused); err != nil {
		return fmt.Errorf("route: %w", err)
	}
	switch c := a.GetClusterSpecifier().(type) {
	case *routev3.RouteAction_Cluster:
		out.Clusters = []route.Weighted{{Cluster: c.Cluster, Weight: 1}}
	case *routev3.RouteAction_WeightedClusters:
		for i, w := range c.WeightedClusters.GetClusters() {
			if err := refuse(w.ProtoReflect(), shareRefused); err != nil {
				return fmt.Errorf("route: weighted_clusters %d: %w", i+1, err)
			}
			out.Clusters = append(out.Clusters, route.Weighted{Cluster: w.GetName(), Weight: w.GetWeight().GetValue()})
		}
	default:
		return errors.New("route: names no cluster")
	}
	if d := a.GetTimeout(); d != nil { // 0 is no limit of the route's own
		if d.CheckValid() != nil || d.AsDuration() < 0 {
			return errors.New("route: timeout: is no time")
		}
		out.Timeout = d.AsDuration()
	}
	if a.GetRetryPolicy() != nil {
		retry = a.GetRetryPolicy()
	}
	if retry == nil {
		return nil
	}
	// retry_on and its kin say when Envoy would retry; here the class's effect does, and
	// the number is a limit on it. A policy that names no occasion allows none.
	out.MaxAttempts = 2
	if n := retry.GetNumRetries(); n != nil {
		out.MaxAttempts = int(min(n.GetValue(), 15)) + 1
	}
	if retry.GetRetryOn() == "" {
		out.MaxAttempts = 1
	}
	if d := retry.GetPerTryTimeout(); d != nil {
		if d.CheckValid() != nil || d.AsDuration() < 0 {
			return errors.New("route: retry_policy: per_try_timeout: is no time")
		}
		out.PerTry = d.AsDuration()
	}
	return nil
}

var redirectCodes = map[routev3.RedirectAction_RedirectResponseCode]int{
	routev3.RedirectAction_MOVED_PERMANENTLY: 301, routev3.RedirectAction_FOUND: 302, routev3.RedirectAction_SEE_OTHER: 303,
	routev3.RedirectAction_TEMPORARY_REDIRECT: 307, routev3.RedirectAction_PERMANENT_REDIRECT: 308,
}

func redirect(r *routev3.RedirectAction, out *route.Route) error {
	if err := refuse(r.ProtoReflect(), redirectRefused); err != nil {
		return fmt.Errorf("redirect: %w", err)
	}
	a := &route.Answer{
		Redirect: true, Status: redirectCodes[r.GetResponseCode()], Scheme: r.GetSchemeRedirect(), Host: r.GetHostRedirect(),
		Path: r.GetPathRedirect(), Prefix: r.GetPrefixRewrite(), StripQuery: r.GetStripQuery(),
	}
	if r.GetHttpsRedirect() {
		a.Scheme = "https"
	}
	if a.Port = int(r.GetPortRedirect()); a.Port > math.MaxUint16 {
		return fmt.Errorf("redirect: port_redirect: %d", a.Port)
	}
	if a.Status == 0 {
		return fmt.Errorf("redirect: response_code: %d is unknown", r.GetResponseCode())
	}
	if a.Prefix != "" && out.Kind != route.Prefix {
		return errors.New("redirect: prefix_rewrite: only with a prefix match")
	}
	out.Answer = a
	return nil
}
