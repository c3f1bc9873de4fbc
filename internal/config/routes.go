package config

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"yokestall/internal/route"
)

// editFile is what a route changes of a message's fields.
type editFile struct {
	Set    map[string]string `toml:"set"`
	Remove []string          `toml:"remove"`
}

func (e *editFile) edits() *route.Edits {
	if e == nil {
		return nil
	}
	out := &route.Edits{Remove: e.Remove}
	for _, name := range slices.Sorted(maps.Keys(e.Set)) {
		out.Set = append(out.Set, route.Field{Name: name, Value: e.Set[name]})
	}
	return out
}

func (p *Program) routes(f *programFile, report reporter) {
	if len(f.Host) == 0 && p.XDS.On() {
		return
	}
	if len(f.Host) == 0 {
		report("host", -1, "", "no [[host]]: nothing would be routed")
	}
	n := -1 // over all hosts, as [[host.route]] stands in the file
	for i := range f.Host {
		h := &f.Host[i]
		v := route.VirtualHost{Name: h.Name, Domains: h.Domains}
		if len(v.Domains) == 0 {
			v.Domains = []string{"*"}
		}
		for j := range h.Route {
			n++
			r := &h.Route[j]
			out := route.Route{Name: r.Name, Methods: r.Methods, Class: r.Class, Processor: r.Process}
			if r.Process != "" && r.Process != "carry" && r.Process != "pick" {
				report("host.route", n, "processor", "%q is none of carry, pick", r.Process)
			}
			kinds := 0
			for kind, text := range map[route.PathKind]string{
				route.Exact: r.Path, route.Prefix: r.Prefix, route.Template: r.Template, route.Regex: r.Regex,
			} {
				if text != "" {
					kinds++
					out.Kind, out.Path = kind, text
				}
			}
			if kinds != 1 {
				report("host.route", n, "", "one of path, prefix, template, regex is wanted; %d are given", kinds)
			}
			out.Request, out.Response = r.Request.edits(), r.Response.edits()
			if d := r.Redirect; d != nil {
				out.Answer = &route.Answer{
					Redirect: true, Status: cmp.Or(d.Status, http.StatusMovedPermanently), Scheme: d.Scheme, Host: d.Host, Port: d.Port,
					Path: d.Path, Prefix: d.Prefix, StripQuery: d.StripQuery,
				}
				if s := out.Answer.Status; s != 301 && s != 302 && s != 303 && s != 307 && s != 308 {
					report("host.route", n, "redirect", "status %d is none of 301, 302, 303, 307, 308", s)
				}
			}
			if d := r.Answer; d != nil {
				out.Answer = &route.Answer{Status: d.Status, Text: d.Text}
				if d.Status < 200 || d.Status > 599 || len(d.Text) > 4096 {
					report("host.route", n, "answer", "status %d, %d bytes: 200 to 599 and 4096 at most", d.Status, len(d.Text))
				}
			}
			if out.Answer == nil && p.Class(r.Class) < 0 {
				report("host.route", n, "class", "%q is no [[class]]", r.Class)
			}
			for _, x := range r.Header {
				m := route.Header{Name: x.Name, Kind: route.HeaderPresent, Invert: x.Not}
				given := 0
				for kind, text := range map[route.HeaderKind]*string{
					route.HeaderExact: x.Exact, route.HeaderPrefix: x.Prefix, route.HeaderSuffix: x.Suffix,
					route.HeaderContains: x.Contains, route.HeaderRegex: x.Regex,
				} {
					if text != nil {
						given++
						m.Kind, m.Value = kind, *text
					}
				}
				if given > 1 {
					report("host.route", n, "header", "%s: one of exact, prefix, suffix, contains, regex at most", x.Name)
				}
				out.Headers = append(out.Headers, m)
			}
			switch {
			case out.Answer != nil:
				if r.Cluster != "" || len(r.Share) > 0 || r.Redirect != nil && r.Answer != nil {
					report("host.route", n, "", "one of cluster, [[host.route.share]], redirect, answer is wanted")
				}
			case (r.Cluster == "") == (len(r.Share) == 0):
				report("host.route", n, "cluster", "either cluster or [[host.route.share]] is wanted")
			case r.Cluster != "":
				out.Clusters = []route.Weighted{{Cluster: r.Cluster, Weight: 1}}
			default:
				for _, s := range r.Share {
					out.Clusters = append(out.Clusters, route.Weighted{Cluster: s.Cluster, Weight: s.Weight})
				}
			}
			v.Routes = append(v.Routes, out)
		}
		p.Hosts = append(p.Hosts, v)
	}
}
