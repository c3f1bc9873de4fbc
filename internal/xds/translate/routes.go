package translate

import (
	"cmp"
	"fmt"
	"slices"

	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"

	"yokestall/internal/config"
	"yokestall/internal/route"
)

// Routes is the used part of a route.v3.RouteConfiguration.
type Routes struct {
	Hosts   []route.VirtualHost
	Classes []config.Class  // beside the program's own
	Tenants []config.Tenant // in place of the program's own, if any
	Table   *route.Table
}

// routeTranslation is the translation of one route configuration.
type routeTranslation struct {
	options *Options
	out     Routes
	classes []string // all that routes may name
	count   int      // routes so far
}

// routes translates a route configuration.
func (o *Options) routes(c *routev3.RouteConfiguration) (*Routes, error) {
	if err := rejectFields(c.ProtoReflect(), rejectedInRouteConfig); err != nil {
		return nil, err
	}
	own, err := ownMetadata(c.GetMetadata(), "class", "classes", "tenants")
	if err != nil {
		return nil, err
	}
	parts, err := marshalFields(own, "classes", "tenants")
	if err != nil {
		return nil, fmt.Errorf("metadata %s: %w", Namespace, err)
	}
	t := &routeTranslation{options: o}
	if err := t.setClasses(parts); err != nil {
		return nil, err
	}
	defaultClass := cmp.Or(own["class"].GetStringValue(), o.DefaultClass)
	for i, v := range c.GetVirtualHosts() {
		if err := t.addVirtualHost(v, i+1, defaultClass); err != nil {
			return nil, err
		}
	}
	t.out.Table, err = route.Compile(t.out.Hosts)
	return &t.out, err
}

// setClasses sets the classes and tenants by the metadata, a JSON object.
func (t *routeTranslation) setClasses(metadata []byte) (err error) {
	if t.out.Classes, t.out.Tenants, err = config.ParseClasses(metadata); err != nil {
		return fmt.Errorf("metadata %s: %w", Namespace, err)
	}
	t.classes = slices.Clone(t.options.Classes)
	for _, c := range t.out.Classes {
		if slices.Contains(t.classes, c.Name) {
			return fmt.Errorf("metadata %s: class %s is the program's own too", Namespace, c.Name)
		}
		t.classes = append(t.classes, c.Name)
	}
	return nil
}

// addVirtualHost translates a virtual host. number is its place, from 1; defaultClass is the class of routes that name
// none.
func (t *routeTranslation) addVirtualHost(v *routev3.VirtualHost, number int, defaultClass string) error {
	withPlace := func(err error) error { return fmt.Errorf("virtual_hosts %d (%.64s): %w", number, v.GetName(), err) }
	if err := rejectFields(v.ProtoReflect(), rejectedInVirtualHost); err != nil {
		return withPlace(err)
	}
	own, err := ownMetadata(v.GetMetadata(), "class")
	if err != nil {
		return withPlace(err)
	}
	class := cmp.Or(own["class"].GetStringValue(), defaultClass)
	host := route.VirtualHost{Name: v.GetName(), Domains: v.GetDomains()}
	for j, r := range v.GetRoutes() {
		if t.count++; t.count > route.MaxRoutes {
			return fmt.Errorf("more than %d routes", route.MaxRoutes)
		}
		translated, err := translateRoute(r, v.GetRetryPolicy(), class)
		if err == nil {
			err = t.checkClass(&translated)
		}
		if err != nil {
			return withPlace(fmt.Errorf("routes %d (%.64s): %w", j+1, r.GetName(), err))
		}
		host.Routes = append(host.Routes, translated)
	}
	t.out.Hosts = append(t.out.Hosts, host)
	return nil
}

// checkClass checks that the class of a route is known, unless the route answers by itself.
func (t *routeTranslation) checkClass(r *route.Route) error {
	switch {
	case r.DirectResponse != nil || t.options.AllowUnknownClasses || slices.Contains(t.classes, r.Class):
		return nil
	case r.Class == "":
		return fmt.Errorf("names no class: metadata %s: class", Namespace)
	}
	return fmt.Errorf("class %q is not known", r.Class)
}
