// Package xdsfile parses files in xDS form: a DiscoveryResponse or a single resource, as JSON, YAML or binary protobuf.
// The package is pure: its input is the content of files, and it does no I/O. A set of files is accepted as a whole or
// not at all. An incomplete file is detected as follows:
//
//   - truncated JSON does not parse;
//   - the last line of a YAML file has to be "...", the end of the document;
//   - a binary file NAME.pb needs a file NAME.pb.sha256 with its SHA-256, as sha256sum writes it.
//
// Control flow for a set of files: form.go parses the bytes of each file into resources, decode.go has package translate
// decode the resources, and Parse has package state derive the clusters and routes from them.
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

// ChecksumSuffix is appended to the name of a binary file to get the name of its checksum file.
const ChecksumSuffix = ".sha256"

// maxReportedNames bounds the number of clusters that one error names.
const maxReportedNames = 5

// Extensions are the file name extensions of files in xDS form.
var Extensions = []string{".json", ".yaml", ".yml", ".pb"}

// HasExtension reports whether a file name has one of Extensions.
func HasExtension(name string) bool { return slices.Contains(Extensions, path.Ext(name)) }

// View has the clusters and routes of a set of files.
type View struct {
	Clusters map[string]*cluster.Config // by name
	Routes   *translate.Routes          // nil if there are none
}

// Parse parses a set of files, which has to include the checksum files of the binary files. The error either joins a
// *cluster.Problem for each resource or file that can't be used, or names the clusters that have no endpoints. Parse
// ignores from.RoutedClustersOnly and keeps all clusters.
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
		return nil, fmt.Errorf("no file has the endpoints of cluster %s", names)
	}
	v := &View{Clusters: s.Clusters(), Routes: s.Routes()}
	for name, c := range v.Clusters {
		c.Source = d.sources[resourceKey{ads.Cluster, name}]
	}
	return v, nil
}

// Resources returns the resources of a file as messages of their own types, by resource name. It does not support binary
// files, since it gets no checksum.
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

// resourceName returns the name of a resource; "" if its message type has no name.
func resourceName(m proto.Message) string {
	switch m := m.(type) {
	case interface{ GetName() string }:
		return m.GetName()
	case interface{ GetClusterName() string }:
		return m.GetClusterName()
	}
	return ""
}

// Check validates the resources of files without the rest of the configuration: classes, clusters and endpoints that the
// resources refer to need not be defined in the files.
func Check(files []config.File) error {
	_, err := decode(files, &translate.Options{AllowUnknownClasses: true})
	return err
}
