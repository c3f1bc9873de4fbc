package xdsfile

import (
	"errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/types/known/anypb"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/translate"
)

// maxProblems bounds the problems that are reported.
const maxProblems = 20

// resourceKey identifies a resource.
type resourceKey struct {
	t    ads.Type
	name string
}

// String returns the key in messages.
func (k resourceKey) String() string { return k.t.String() + " " + k.name }

// decoder decodes the resources of a set of files.
type decoder struct {
	options  *translate.Options
	updates  [ads.TypeCount]ads.Update
	sources  map[resourceKey]string // the file of each resource
	problems []error
}

// decode decodes the resources of files.
func decode(files []config.File, o *translate.Options) (*decoder, error) {
	checksums := map[string][]byte{} // by file name
	for _, f := range files {
		if isChecksum(f) {
			checksums[f.Name] = f.Text
		}
	}
	d := &decoder{options: o, sources: map[resourceKey]string{}}
	for _, f := range files {
		if isChecksum(f) {
			continue
		}
		if err := d.decodeFile(f, checksums[f.Name+ChecksumSuffix]); err != nil {
			return nil, err
		}
	}
	if len(d.problems) > 0 {
		return nil, errors.Join(d.problems[:min(len(d.problems), maxProblems)]...)
	}
	return d, nil
}

func isChecksum(f config.File) bool { return strings.HasSuffix(f.Name, ChecksumSuffix) }

// decodeFile decodes the resources of a file. The error is about too many resources; the other problems are collected.
func (d *decoder) decodeFile(f config.File, checksum []byte) error {
	list, err := resources(f, checksum)
	if err != nil {
		d.problems = append(d.problems, &cluster.Problem{Source: f.Name, Text: err.Error()})
		return nil
	}
	for i, body := range list {
		t, err := d.decodeResource(f.Name, i+1, body)
		if err != nil {
			d.problems = append(d.problems, &cluster.Problem{Source: f.Name, Text: err.Error()})
			continue
		}
		if len(d.updates[t].Accepted) > ads.MaxResources {
			text := fmt.Sprintf("over %d resources of one type", ads.MaxResources)
			return &cluster.Problem{Source: f.Name, Text: text}
		}
	}
	return nil
}

// decodeResource decodes a resource of a file and returns its type. number is its place in the file, from 1.
func (d *decoder) decodeResource(source string, number int, body *anypb.Any) (ads.Type, error) {
	t, ok := ads.TypeByURL(body.GetTypeUrl())
	if !ok {
		return t, fmt.Errorf("resource %d: type %.200q is not taken", number, body.GetTypeUrl())
	}
	name, value, err := d.options.Decode(t, body)
	if err != nil {
		return t, fmt.Errorf("resource %d (%v %.*s): %w", number, t, ads.MaxNameBytes, name, err)
	}
	if name == "" || len(name) > ads.MaxNameBytes {
		return t, fmt.Errorf("resource %d (%v): a name has 1 to %d bytes", number, t, ads.MaxNameBytes)
	}
	key := resourceKey{t, name}
	if first, duplicate := d.sources[key]; duplicate {
		return t, fmt.Errorf("resource %d: %v stands in %s too", number, key, first)
	}
	d.sources[key] = source
	u := &d.updates[t]
	u.Type = t
	u.Accepted = append(u.Accepted, ads.ValidResource{Name: name, Value: value})
	return t, nil
}
