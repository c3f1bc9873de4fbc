package translate

import (
	"cmp"
	"fmt"
	"slices"

	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"

	"yokestall/internal/config"
	"yokestall/internal/route"
)

// Routes has the fields of a route.v3.RouteConfiguration that the program uses.
type Routes struct {
	Hosts   []route.VirtualHost
	Classes []config.Class  // classes in addition to those of the program's settings file
	Tenants []config.Tenant // if not empty, these replace the tenants of the program's settings file
	Table   *route.Table
}

// routeTranslation is the state of the translation of one route configuration.
type routeTranslation struct {
	options *Options
	out     Routes
	classes []string // all classes that routes may name
	count   int      // number of routes translated so far
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

// setClasses sets the classes and tenants from the metadata, which is a JSON object.
func (t *routeTranslation) setClasses(metadata []byte) (err error) {
	if t.out.Classes, t.out.Tenants, err = config.ParseClasses(metadata); err != nil {
		return fmt.Errorf("metadata %s: %w", Namespace, err)
	}
	t.classes = slices.Clone(t.options.Classes)
	for _, c := range t.out.Classes {
		if slices.Contains(t.classes, c.Name) {
			return fmt.Errorf("metadata %s: class %s is also defined in the program's settings file", Namespace, c.Name)
		}
		t.classes = append(t.classes, c.Name)
	}
	return nil
}

// addVirtualHost translates a virtual host. number is the position of the virtual host in the route configuration, from
// 1. defaultClass is the class of routes for which neither the route nor the virtual host names one.
func (t *routeTranslation) addVirtualHost(v *routev3.VirtualHost, number int, defaultClass string) error {
	withPosition := func(err error) error { return fmt.Errorf("virtual_hosts %d (%.64s): %w", number, v.GetName(), err) }
	if err := rejectFields(v.ProtoReflect(), rejectedInVirtualHost); err != nil {
		return withPosition(err)
	}
	own, err := ownMetadata(v.GetMetadata(), "class")
	if err != nil {
		return withPosition(err)
	}
	class := cmp.Or(own["class"].GetStringValue(), defaultClass)
	host := route.VirtualHost{Name: v.GetName(), Domains: v.GetDomains()}
	for j, r := range v.GetRoutes() {
		if t.count++; t.count > route.MaxRoutes {
			return fmt.Errorf("the route configuration has more than %d routes", route.MaxRoutes)
		}
		translated, err := translateRoute(r, v.GetRetryPolicy(), class)
		if err == nil {
			err = t.checkClass(&translated)
		}
		if err != nil {
			return withPosition(fmt.Errorf("routes %d (%.64s): %w", j+1, r.GetName(), err))
		}
		host.Routes = append(host.Routes, translated)
	}
	t.out.Hosts = append(t.out.Hosts, host)
	return nil
}

// checkClass checks that the class of a route is known. Routes with a direct response need no class.
func (t *routeTranslation) checkClass(r *route.Route) error {
	switch {
	case r.DirectResponse != nil || t.options.AllowUnknownClasses || slices.Contains(t.classes, r.Class):
		return nil
	case r.Class == "":
		return fmt.Errorf("the route names no class and there is no default: metadata %s: class", Namespace)
	}
	return fmt.Errorf("class %q is not known", r.Class)
}
