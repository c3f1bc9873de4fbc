// Package xdsfile parses files in xDS form: a DiscoveryResponse or a bare resource, as JSON, YAML or binary protobuf.
// It is pure: it is given their bytes. A set of files is accepted as a whole or not at all, and an incomplete file is
// detected:
//
//   - JSON that was truncated does not parse;
//   - a YAML file's last line has to be "...", the end of its document;
//   - beside a binary file NAME.pb stands NAME.pb.sha256, as sha256sum writes it.
//
// The way of a file: form.go turns its bytes into resources, decode.go has package translate decode them, and Parse has
// package state derive the clusters and the routes from them.
package xdsfile

import (
	"fmt"
	"path"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/state"
	"yokestall/internal/xds/translate"
)

// ChecksumSuffix is the end of the name of the file that has a binary file's SHA-256.
const ChecksumSuffix = ".sha256"

// maxReportedNames bounds the clusters that an error names.
const maxReportedNames = 5

// Extensions are the file name extensions of files in xDS form.
var Extensions = []string{".json", ".yaml", ".yml", ".pb"}

// HasExtension reports whether a name is that of a file in xDS form.
func HasExtension(name string) bool { return slices.Contains(Extensions, path.Ext(name)) }

// View is the clusters and the routes of a set of files.
type View struct {
	Clusters map[string]*cluster.Config
	Routes   *translate.Routes // nil if there are none
}

// Parse parses a set of files, with the checksums of the binary ones among them. The error joins a *cluster.Problem for
// each resource that can't be used, or says which clusters have no endpoints.
func Parse(files []config.File, o translate.Options, from state.Options) (*View, error) {
	d, err := decode(files, &o)
	if err != nil {
		return nil, err
	}
	from.RoutedClustersOnly = false
	s := state.New(from)
	for t := range d.updates {
		s.Apply(time.Time{}, &d.updates[t])
	}
	if pending := s.Pending(); len(pending) > 0 {
		names := strings.Join(pending[:min(len(pending), maxReportedNames)], ", ")
		return nil, fmt.Errorf("cluster %s: no file has its endpoints", names)
	}
	v := &View{Clusters: s.Clusters(), Routes: s.Routes()}
	for name, c := range v.Clusters {
		c.Source = d.sources[resourceKey{ads.Cluster, name}]
	}
	return v, nil
}

// Resources returns the resources of a file as messages of their own types, by name.
func Resources(f config.File) (map[string]proto.Message, error) {
	list, err := resources(f, nil)
	if err != nil {
		return nil, &cluster.Problem{Source: f.Name, Text: err.Error()}
	}
	out := map[string]proto.Message{}
	for _, body := range list {
		m, err := body.UnmarshalNew()
		if err != nil {
			return nil, &cluster.Problem{Source: f.Name, Text: err.Error()}
		}
		out[resourceName(m)] = m
	}
	return out, nil
}

// resourceName returns a resource's name; "" if its type has none.
func resourceName(m proto.Message) string {
	switch m := m.(type) {
	case interface{ GetName() string }:
		return m.GetName()
	case interface{ GetClusterName() string }:
		return m.GetClusterName()
	}
	return ""
}

// Check checks files by themselves: the classes that routes name, and the clusters and endpoints that resources refer
// to, may be elsewhere.
func Check(files []config.File) error {
	_, err := decode(files, &translate.Options{AllowUnknownClasses: true})
	return err
}
