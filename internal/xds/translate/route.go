package translate

import (
	"cmp"
	"errors"
	"fmt"
	"math"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"

	"yokestall/internal/route"
)

const (
	// maxDirectResponseBytes is the size of the largest body of a direct response that is accepted.
	maxDirectResponseBytes = 4096
	// defaultRetries is the number of retries if a retry policy has no num_retries.
	defaultRetries = 1
	// maxRetries bounds the number of retries of a request. A larger num_retries is reduced to it.
	maxRetries = 15
)

// translateRoute translates a route. hostRetry is the retry policy of the route's virtual host. class is the class of
// the route if its metadata names none.
func translateRoute(r *routev3.Route, hostRetry *routev3.RetryPolicy, class string) (out route.Route, err error) {
	out.Name = r.GetName()
	if err := rejectFields(r.ProtoReflect(), rejectedInRoute); err != nil {
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
		err = routeAction(a.Route, hostRetry, &out)
	case *routev3.Route_Redirect:
		err = redirect(a.Redirect, &out)
	case *routev3.Route_DirectResponse:
		err = directResponse(a.DirectResponse, &out)
	default:
		err = errors.New("no supported action is set")
	}
	return out, err
}

// routeAction translates the clusters, the timeout and the retry policy of a route.
func routeAction(a *routev3.RouteAction, hostRetry *routev3.RetryPolicy, out *route.Route) error {
	if err := rejectFields(a.ProtoReflect(), rejectedInRouteAction); err != nil {
		return fmt.Errorf("route: %w", err)
	}
	switch c := a.GetClusterSpecifier().(type) {
	case *routev3.RouteAction_Cluster:
		out.Clusters = []route.WeightedCluster{{Cluster: c.Cluster, Weight: 1}}
	case *routev3.RouteAction_WeightedClusters:
		for i, w := range c.WeightedClusters.GetClusters() {
			if err := rejectFields(w.ProtoReflect(), rejectedInWeightedCluster); err != nil {
				return fmt.Errorf("route: weighted_clusters %d: %w", i+1, err)
			}
			out.Clusters = append(out.Clusters, route.WeightedCluster{Cluster: w.GetName(), Weight: w.GetWeight().GetValue()})
		}
	default:
		return errors.New("route: no supported cluster specifier is set")
	}
	if d := a.GetTimeout(); d != nil { // 0 means that the route has no timeout of its own
		if d.CheckValid() != nil || d.AsDuration() < 0 {
			return errors.New("route: timeout: not a valid duration of 0 or more")
		}
		out.Timeout = d.AsDuration()
	}
	if retry := a.GetRetryPolicy(); retry != nil {
		return retryPolicy(retry, out)
	}
	return retryPolicy(hostRetry, out)
}

// retryPolicy translates a retry policy. A nil policy sets nothing. In Envoy, retry_on and similar fields say which
// requests are retried; here the idempotency of the route's class does, and the policy only limits the number of
// retries. A policy with an empty retry_on allows no retries.
func retryPolicy(p *routev3.RetryPolicy, out *route.Route) error {
	if p == nil {
		return nil
	}
	retries := uint32(defaultRetries)
	if n := p.GetNumRetries(); n != nil {
		retries = min(n.GetValue(), maxRetries)
	}
	if p.GetRetryOn() == "" {
		retries = 0
	}
	out.MaxAttempts = 1 + int(retries)
	if d := p.GetPerTryTimeout(); d != nil {
		if d.CheckValid() != nil || d.AsDuration() < 0 {
			return errors.New("route: retry_policy: per_try_timeout: not a valid duration of 0 or more")
		}
		out.PerTryTimeout = d.AsDuration()
	}
	return nil
}

// redirectStatus maps each response code of a redirect action to its HTTP status.
var redirectStatus = map[routev3.RedirectAction_RedirectResponseCode]int{
	routev3.RedirectAction_MOVED_PERMANENTLY:  301,
	routev3.RedirectAction_FOUND:              302,
	routev3.RedirectAction_SEE_OTHER:          303,
	routev3.RedirectAction_TEMPORARY_REDIRECT: 307,
	routev3.RedirectAction_PERMANENT_REDIRECT: 308,
}

// redirect translates a redirect action.
func redirect(r *routev3.RedirectAction, out *route.Route) error {
	if err := rejectFields(r.ProtoReflect(), rejectedInRedirect); err != nil {
		return fmt.Errorf("redirect: %w", err)
	}
	a := &route.DirectResponse{
		Redirect:   true,
		Status:     redirectStatus[r.GetResponseCode()],
		Scheme:     r.GetSchemeRedirect(),
		Host:       r.GetHostRedirect(),
		Port:       int(r.GetPortRedirect()),
		Path:       r.GetPathRedirect(),
		Prefix:     r.GetPrefixRewrite(),
		StripQuery: r.GetStripQuery(),
	}
	if r.GetHttpsRedirect() {
		a.Scheme = "https"
	}
	switch {
	case a.Port > math.MaxUint16:
		return fmt.Errorf("redirect: port_redirect: %d is not from 0 to 65535", a.Port)
	case a.Status == 0:
		return fmt.Errorf("redirect: response_code: %d is unknown", r.GetResponseCode())
	case a.Prefix != "" && out.Kind != route.PathPrefix:
		return errors.New("redirect: prefix_rewrite: only supported with a prefix match")
	}
	out.DirectResponse = a
	return nil
}

// directResponse translates a direct response action.
func directResponse(d *routev3.DirectResponseAction, out *route.Route) error {
	if err := rejectFields(d.ProtoReflect(), rejectedInDirectResponse); err != nil {
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
		return errors.New("direct_response.body: only inline bodies are supported")
	}
	switch {
	case len(text) > maxDirectResponseBytes:
		return fmt.Errorf("direct_response.body: larger than the limit of %d bytes", maxDirectResponseBytes)
	case d.GetStatus() < 200 || d.GetStatus() > 599:
		return fmt.Errorf("direct_response.status: %d is not from 200 to 599", d.GetStatus())
	}
	out.DirectResponse = &route.DirectResponse{Status: int(d.GetStatus()), Body: text}
	return nil
}
