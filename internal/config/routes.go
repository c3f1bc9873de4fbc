package config

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"yokestall/internal/route"
)

// maxDirectResponseBytes limits the body of a direct response.
const maxDirectResponseBytes = 4096

// The types of the tables [[host]] and [[host.route]] are aliases of unnamed types: some errors of the TOML library contain the
// name of the Go type, and operators search for these texts.

// hostFile is a table [[host]], a virtual host, as decoded.
type hostFile = struct {
	Name    string      `toml:"name"`
	Domains []string    `toml:"domains"`
	Route   []routeFile `toml:"route"`
}

// routeFile is a table [[host.route]] as decoded.
type routeFile = struct {
	Name     string        `toml:"name"`
	Path     string        `toml:"path"`
	Prefix   string        `toml:"prefix"`
	Template string        `toml:"template"`
	Regex    string        `toml:"regex"`
	Methods  []string      `toml:"methods"`
	Class    string        `toml:"class"`
	Cluster  string        `toml:"cluster"`
	Process  string        `toml:"processor"`
	Header   []headerFile  `toml:"header"`
	Request  *editFile     `toml:"request"`
	Response *editFile     `toml:"response"`
	Redirect *redirectFile `toml:"redirect"`
	Answer   *answerFile   `toml:"answer"`
	Share    []struct {
		Cluster string `toml:"cluster"`
		Weight  uint32 `toml:"weight"`
	} `toml:"share"`
}

// headerFile is a condition on a request header field as decoded.
type headerFile = struct {
	Name     string  `toml:"name"`
	Exact    *string `toml:"exact"`
	Prefix   *string `toml:"prefix"`
	Suffix   *string `toml:"suffix"`
	Contains *string `toml:"contains"`
	Regex    *string `toml:"regex"`
	Not      bool    `toml:"not"`
}

// redirectFile is a route's redirect as decoded.
type redirectFile = struct {
	Status     int    `toml:"status"`
	Scheme     string `toml:"scheme"`
	Host       string `toml:"host"`
	Port       int    `toml:"port"`
	Path       string `toml:"path"`
	Prefix     string `toml:"prefix"`
	StripQuery bool   `toml:"strip_query"`
}

// answerFile is a route's direct response as decoded.
type answerFile = struct {
	Status int    `toml:"status"`
	Text   string `toml:"text"`
}

// editFile is the header edits of a request or a response as decoded.
type editFile struct {
	Set    map[string]string `toml:"set"`
	Remove []string          `toml:"remove"`
}

// headerEdits converts the header edits, in the order of field names. It returns nil for nil.
func (e *editFile) headerEdits() *route.HeaderEdits {
	if e == nil {
		return nil
	}
	out := &route.HeaderEdits{Remove: e.Remove}
	for _, name := range slices.Sorted(maps.Keys(e.Set)) {
		out.Set = append(out.Set, route.HeaderField{Name: name, Value: e.Set[name]})
	}
	return out
}

// readRoutes checks the virtual hosts and their routes and sets p.Hosts. The hosts may be missing if routes come from a control
// plane.
func (p *Program) readRoutes(f *programFile, report reporter) {
	if len(f.Host) == 0 && p.XDS.On() {
		return
	}
	if len(f.Host) == 0 {
		report("host", -1, "", "there is no [[host]], so that no request would be routed")
	}
	n := -1 // index of the [[host.route]] over all hosts, which the reporter needs to find its line
	for i := range f.Host {
		h := &f.Host[i]
		v := route.VirtualHost{Name: h.Name, Domains: h.Domains}
		if len(v.Domains) == 0 {
			v.Domains = []string{"*"}
		}
		for j := range h.Route {
			n++
			r := routeReader{index: n, report: report, in: &h.Route[j]}
			v.Routes = append(v.Routes, r.read(p))
		}
		p.Hosts = append(p.Hosts, v)
	}
}

// routeReader converts a decoded route and reports its problems.
type routeReader struct {
	index  int // index of the route's table among all [[host.route]] of the file
	report reporter
	in     *routeFile
	out    route.Route
}

func (r *routeReader) problem(key, format string, args ...any) {
	r.report("host.route", r.index, key, format, args...)
}

func (r *routeReader) read(p *Program) route.Route {
	in := r.in
	r.out = route.Route{Name: in.Name, Methods: in.Methods, Class: in.Class, Processor: in.Process}
	if in.Process != "" && in.Process != route.ProcessorForward && in.Process != route.ProcessorPick {
		r.problem("processor", "%q is not one of carry, pick", in.Process)
	}
	r.readPath()
	r.out.RequestEdits, r.out.ResponseEdits = in.Request.headerEdits(), in.Response.headerEdits()
	r.readDirectResponse()
	if r.out.DirectResponse == nil && p.Class(in.Class) < 0 {
		r.problem("class", "%q is no [[class]]", in.Class)
	}
	for i := range in.Header {
		r.out.Headers = append(r.out.Headers, r.headerMatcher(&in.Header[i]))
	}
	r.readClusters()
	return r.out
}

// readPath reads the condition on the path, of which a route must have exactly one.
func (r *routeReader) readPath() {
	given := 0
	for kind, text := range map[route.PathKind]string{
		route.PathExact: r.in.Path, route.PathPrefix: r.in.Prefix,
		route.PathTemplate: r.in.Template, route.PathRegex: r.in.Regex,
	} {
		if text != "" {
			given++
			r.out.Kind, r.out.Path = kind, text
		}
	}
	if given != 1 {
		r.problem("", "exactly one of path, prefix, template, regex must be set; %d are set", given)
	}
}

// readDirectResponse reads the route's redirect or direct response, if there is one.
func (r *routeReader) readDirectResponse() {
	if d := r.in.Redirect; d != nil {
		r.out.DirectResponse = &route.DirectResponse{
			Redirect: true, Status: cmp.Or(d.Status, http.StatusMovedPermanently),
			Scheme: d.Scheme, Host: d.Host, Port: d.Port, Path: d.Path, Prefix: d.Prefix, StripQuery: d.StripQuery,
		}
		if s := r.out.DirectResponse.Status; s != 301 && s != 302 && s != 303 && s != 307 && s != 308 {
			r.problem("redirect", "status %d is not one of 301, 302, 303, 307, 308", s)
		}
	}
	if d := r.in.Answer; d != nil {
		r.out.DirectResponse = &route.DirectResponse{Status: d.Status, Body: d.Text}
		if d.Status < 200 || d.Status > 599 || len(d.Text) > maxDirectResponseBytes {
			const text = "status is %d and text has %d bytes; the status must be from 200 to 599, the text at most %d bytes long"
			r.problem("answer", text, d.Status, len(d.Text), maxDirectResponseBytes)
		}
	}
}

// headerMatcher converts a condition on a request header field. A condition without a value matches if the field is present.
func (r *routeReader) headerMatcher(in *headerFile) route.HeaderMatcher {
	out := route.HeaderMatcher{Name: in.Name, Kind: route.HeaderPresent, Invert: in.Not}
	given := 0
	for kind, text := range map[route.HeaderKind]*string{
		route.HeaderExact: in.Exact, route.HeaderPrefix: in.Prefix, route.HeaderSuffix: in.Suffix,
		route.HeaderContains: in.Contains, route.HeaderRegex: in.Regex,
	} {
		if text != nil {
			given++
			out.Kind, out.Value = kind, *text
		}
	}
	if given > 1 {
		r.problem("header", "%s: at most one of exact, prefix, suffix, contains, regex may be set", in.Name)
	}
	return out
}

// readClusters reads the cluster or the weighted clusters of a route without a direct response.
func (r *routeReader) readClusters() {
	in := r.in
	switch {
	case r.out.DirectResponse != nil:
		if in.Cluster != "" || len(in.Share) > 0 || in.Redirect != nil && in.Answer != nil {
			r.problem("", "exactly one of cluster, [[host.route.share]], redirect, answer must be set")
		}
	case (in.Cluster == "") == (len(in.Share) == 0):
		r.problem("cluster", "either cluster or [[host.route.share]] must be set")
	case in.Cluster != "":
		r.out.Clusters = []route.WeightedCluster{{Cluster: in.Cluster, Weight: 1}}
	default:
		for _, s := range in.Share {
			r.out.Clusters = append(r.out.Clusters, route.WeightedCluster{Cluster: s.Cluster, Weight: s.Weight})
		}
	}
}
