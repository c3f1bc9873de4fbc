// Package xdsfile reads files in xDS form: a DiscoveryResponse or a bare resource, as JSON,
// YAML or binary protobuf. It is pure: it is given their bytes. A set of files is taken
// whole or not at all, and no part of a file is taken for the whole:
//
//   - JSON that was cut does not parse;
//   - a YAML file's last line has to be "...", the end of its document;
//   - beside a binary file NAME.pb stands NAME.pb.sha256, as sha256sum writes it.
package xdsfile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"slices"
	"strings"
	"time"

	// Types that resources usually have inside; one that is not known can't be read from
	// JSON or YAML.
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/least_request/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/round_robin/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/upstreams/http/v3"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"sigs.k8s.io/yaml"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/state"
	"yokestall/internal/xds/translate"
)

// SumSuffix ends the name of the file that holds a binary file's SHA-256.
const SumSuffix = ".sha256"

// Extensions are the ends of the names of files in xDS form.
var Extensions = []string{".json", ".yaml", ".yml", ".pb"}

// Is tells whether a name is that of a file in xDS form.
func Is(name string) bool { return slices.Contains(Extensions, path.Ext(name)) }

// View is what a set of files comes to.
type View struct {
	Clusters map[string]*cluster.Cluster
	Routes   *translate.Routes // nil: the files have none
}

// Parse reads a set of files, the sums of binary ones among them.
func Parse(files []config.File, o translate.Options, from state.Options) (*View, error) {
	updates, where, err := decode(files, &o)
	if err != nil {
		return nil, err
	}
	from.Named = false
	s := state.New(from)
	for t := range updates {
		s.Apply(time.Time{}, &updates[t])
	}
	if pending := s.Pending(); len(pending) > 0 {
		return nil, fmt.Errorf("cluster %s: no file has its endpoints", strings.Join(pending[:min(len(pending), 5)], ", "))
	}
	v := &View{Clusters: s.Clusters(), Routes: s.Routes()}
	for name, c := range v.Clusters {
		c.Source = where[ads.Cluster.String()+" "+name]
	}
	return v, nil
}

// Resources gives the resources of a file in their own messages, by name.
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
		name := ""
		switch m := m.(type) {
		case interface{ GetName() string }:
			name = m.GetName()
		case interface{ GetClusterName() string }:
			name = m.GetClusterName()
		}
		out[name] = m
	}
	return out, nil
}

// Check checks files by themselves: classes that routes name, and clusters and endpoints
// that resources refer to, may stand elsewhere.
func Check(files []config.File) error {
	_, _, err := decode(files, &translate.Options{AnyClass: true})
	return err
}

// decode reads the resources of files; where tells the file of each, by type and name.
func decode(files []config.File, o *translate.Options) (updates [ads.Types]ads.Update, where map[string]string, err error) {
	sums := map[string][]byte{}
	for _, f := range files {
		if strings.HasSuffix(f.Name, SumSuffix) {
			sums[f.Name] = f.Text
		}
	}
	where = map[string]string{}
	var found []error
	for _, f := range files {
		if strings.HasSuffix(f.Name, SumSuffix) {
			continue
		}
		fault := func(format string, args ...any) {
			found = append(found, &cluster.Problem{Source: f.Name, Text: fmt.Sprintf(format, args...)})
		}
		list, err := resources(f, sums[f.Name+SumSuffix])
		if err != nil {
			fault("%v", err)
			continue
		}
		for i, body := range list {
			t, ok := ads.TypeOf(body.GetTypeUrl())
			if !ok {
				fault("resource %d: type %.200q is not taken", i+1, body.GetTypeUrl())
				continue
			}
			name, value, err := o.Decode(t, body)
			if err != nil {
				fault("resource %d (%v %.*s): %v", i+1, t, ads.MaxName, name, err)
				continue
			}
			if name == "" || len(name) > ads.MaxName {
				fault("resource %d (%v): a name has 1 to %d bytes", i+1, t, ads.MaxName)
				continue
			}
			key := t.String() + " " + name
			if first, twice := where[key]; twice {
				fault("resource %d: %s stands in %s too", i+1, key, first)
				continue
			}
			where[key] = f.Name
			u := &updates[t]
			u.Type = t
			u.Set = append(u.Set, ads.Set{Name: name, Value: value})
			if len(u.Set) > ads.MaxResources {
				return updates, nil, &cluster.Problem{Source: f.Name, Text: fmt.Sprintf("over %d resources of one type", ads.MaxResources)}
			}
		}
	}
	if len(found) > 0 {
		return updates, nil, errors.Join(found[:min(len(found), 20)]...)
	}
	return updates, where, nil
}

// resources gives the resources of a file.
func resources(f config.File, sum []byte) ([]*anypb.Any, error) {
	if len(f.Text) > config.MaxFile {
		return nil, fmt.Errorf("over %d bytes", config.MaxFile)
	}
	switch path.Ext(f.Name) {
	case ".pb":
		is := sha256.Sum256(f.Text)
		if want, _, _ := strings.Cut(strings.TrimSpace(string(sum)), " "); want != hex.EncodeToString(is[:]) {
			return nil, fmt.Errorf("is not whole: %s has to hold its SHA-256, as sha256sum writes it", path.Base(f.Name)+SumSuffix)
		}
		return fromBinary(f.Text)
	case ".yaml", ".yml":
		if t := bytes.TrimRight(f.Text, "\r\n"); !bytes.HasSuffix(t, []byte("\n...")) || len(t) == len(f.Text) {
			return nil, errors.New(`is not whole: the last line has to be "..."`)
		}
		text, err := yaml.YAMLToJSONStrict(f.Text)
		if err != nil {
			return nil, err
		}
		return fromJSON(text)
	}
	return fromJSON(f.Text)
}

func fromBinary(text []byte) ([]*anypb.Any, error) {
	// A bare resource is an Any; its first field, the type, can't be a response's version.
	var one anypb.Any
	if proto.Unmarshal(text, &one) == nil {
		if _, ok := ads.TypeOf(one.GetTypeUrl()); ok {
			return []*anypb.Any{&one}, nil
		}
	}
	var r discoveryv3.DiscoveryResponse
	if err := proto.Unmarshal(text, &r); err != nil || len(r.GetResources()) == 0 {
		return nil, errors.New("is neither a DiscoveryResponse with resources nor a resource in an Any")
	}
	return r.GetResources(), nil
}

func fromJSON(text []byte) (list []*anypb.Any, err error) {
	var shape struct {
		Type      string            `json:"@type"`
		Resources []json.RawMessage `json:"resources"`
	}
	if err := json.Unmarshal(text, &shape); err != nil {
		var s *json.SyntaxError
		if errors.As(err, &s) {
			line := 1 + bytes.Count(text[:min(int(s.Offset), len(text))], []byte("\n"))
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		return nil, err
	}
	parts := shape.Resources
	if shape.Type != "" {
		parts = []json.RawMessage{text}
	} else if len(parts) == 0 {
		return nil, errors.New(`has neither "@type" nor "resources"`)
	}
	for i, part := range parts {
		a := &anypb.Any{}
		if err := protojson.Unmarshal(part, a); err != nil {
			return nil, fmt.Errorf("resource %d: %w", i+1, err)
		}
		list = append(list, a)
	}
	return list, nil
}
