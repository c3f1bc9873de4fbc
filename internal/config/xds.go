package config

import (
	"net"
	"slices"
)

// XDS is the settings of control planes, or of files in xDS form. The zero value has none.
type XDS struct {
	Servers     []string // host:port, in order of preference
	Incremental bool
	NodeID      string
	NodeGroup   string
	Listener    string // whose routes are used; "": those of Routes
	Routes      string // the route configuration; "": the only one there is
	RoutedOnly  bool   // only clusters that routes name are requested
	Class       string // of routes that name none; "": those are rejected
	Keep        string // file for the last good version; "": none
	Folder      string // of files in xDS form; "": none
	MaxMessage  int    // bytes of a message
}

// On reports whether there is a control plane or a folder of files.
func (x *XDS) On() bool { return len(x.Servers) > 0 || x.Folder != "" }

// readXDS reads the settings of control planes.
func (p *Program) readXDS(f *programFile, report reporter) {
	x := &f.XDS
	p.XDS = XDS{
		Servers: x.Servers, Incremental: x.Variant == "incremental", NodeID: x.NodeID, NodeGroup: x.NodeGroup,
		Listener: x.Listener, Routes: x.Routes, RoutedOnly: x.Clusters == "routed", Class: x.Class,
		Keep: x.Keep, Folder: x.Folder, MaxMessage: x.MaxMessage << 20,
	}
	if n := len(x.Servers); n > 16 {
		report("xds", -1, "servers", "%d; 16 at most", n)
	}
	for _, s := range x.Servers {
		if host, port, err := net.SplitHostPort(s); err != nil || host == "" || port == "" {
			report("xds", -1, "servers", "%q is no host:port", s)
		}
	}
	if x.Variant != "incremental" && x.Variant != "state-of-the-world" {
		report("xds", -1, "variant", "%q is none of incremental, state-of-the-world", x.Variant)
	}
	if x.Clusters != "all" && x.Clusters != "routed" {
		report("xds", -1, "clusters", "%q is none of all, routed", x.Clusters)
	}
	if n := x.MaxMessage; n < 1 || n > 256 {
		report("xds", -1, "max_message_mb", "%d is not from 1 to 256", n)
	}
	if len(x.Servers) > 0 && x.Listener == "" && x.Routes == "" && len(f.Host) == 0 {
		report("xds", -1, "servers", "listener or routes has to say which routes are followed, or [[host]] has to have some")
	}
	if x.Listener != "" && x.Routes != "" {
		report("xds", -1, "routes", "stands beside listener; one of them")
	}
	if x.Class != "" && !slices.ContainsFunc(p.Classes, func(c Class) bool { return c.Name == x.Class }) {
		report("xds", -1, "class", "%q is no [[class]]", x.Class)
	}
}
