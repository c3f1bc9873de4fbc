package config

import (
	"net"
	"slices"
)

// XDS holds the settings of control planes, or of files in xDS form. The zero value has neither.
type XDS struct {
	Servers     []string // host:port of the control planes, in order of preference
	Incremental bool     // the incremental variant of xDS is used, not state of the world
	NodeID      string   // id of the xDS node
	NodeGroup   string   // cluster of the xDS node
	Listener    string   // name of the listener whose routes are used; "": the routes of Routes are used
	Routes      string   // name of the route configuration; "": the only one that exists
	RoutedOnly  bool     // only clusters that routes name are requested
	Class       string   // class of routes that name none; "": such routes are rejected
	Keep        string   // cache file for the last good version; "": none
	Folder      string   // directory of files in xDS form; "": none
	MaxMessage  int      // limit of a message, in bytes
}

// On reports whether there is a control plane or a directory of files in xDS form.
func (x *XDS) On() bool { return len(x.Servers) > 0 || x.Folder != "" }

// readXDS checks the table [xds] and sets p.XDS. The classes must have been read before.
func (p *Program) readXDS(f *programFile, report reporter) {
	x := &f.XDS
	p.XDS = XDS{
		Servers: x.Servers, Incremental: x.Variant == "incremental", NodeID: x.NodeID, NodeGroup: x.NodeGroup,
		Listener: x.Listener, Routes: x.Routes, RoutedOnly: x.Clusters == "routed", Class: x.Class,
		Keep: x.Keep, Folder: x.Folder, MaxMessage: x.MaxMessage << 20,
	}
	if n := len(x.Servers); n > 16 {
		report("xds", -1, "servers", "%d control planes are listed; the limit is 16", n)
	}
	for _, s := range x.Servers {
		if host, port, err := net.SplitHostPort(s); err != nil || host == "" || port == "" {
			report("xds", -1, "servers", "%q is not host:port", s)
		}
	}
	if x.Variant != "incremental" && x.Variant != "state-of-the-world" {
		report("xds", -1, "variant", "%q is not one of incremental, state-of-the-world", x.Variant)
	}
	if x.Clusters != "all" && x.Clusters != "routed" {
		report("xds", -1, "clusters", "%q is not one of all, routed", x.Clusters)
	}
	if n := x.MaxMessage; n < 1 || n > 256 {
		report("xds", -1, "max_message_mb", "%d is not from 1 to 256", n)
	}
	if len(x.Servers) > 0 && x.Listener == "" && x.Routes == "" && len(f.Host) == 0 {
		report("xds", -1, "servers", "requires listener or routes, or virtual hosts in [[host]]")
	}
	if x.Listener != "" && x.Routes != "" {
		report("xds", -1, "routes", "is set together with listener; only one of them may be set")
	}
	if x.Class != "" && !slices.ContainsFunc(p.Classes, func(c Class) bool { return c.Name == x.Class }) {
		report("xds", -1, "class", "%q is no [[class]]", x.Class)
	}
}
