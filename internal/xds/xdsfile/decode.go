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

// maxProblems bounds the number of problems in one error.
const maxProblems = 20

// resourceKey identifies a resource in a set of files.
type resourceKey struct {
	t    ads.Type
	name string
}

// String returns the type and name of the resource, for error texts.
func (k resourceKey) String() string { return k.t.String() + " " + k.name }

// decoder collects the decoded resources of a set of files, and the problems found.
type decoder struct {
	options  *translate.Options
	updates  [ads.TypeCount]ads.Update
	sources  map[resourceKey]string // file name of each resource
	problems []error
}

// decode decodes the resources of a set of files. If a resource or a file can't be used, the error joins a
// *cluster.Problem for each, at most maxProblems.
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

// isChecksum reports whether a file holds the checksum of a binary file.
func isChecksum(f config.File) bool { return strings.HasSuffix(f.Name, ChecksumSuffix) }

// decodeFile decodes the resources of a file. It returns an error only if there are too many resources; it adds other
// problems to d.problems.
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
			text := fmt.Sprintf("more than %d resources of one type in the set of files", ads.MaxResources)
			return &cluster.Problem{Source: f.Name, Text: text}
		}
	}
	return nil
}

// decodeResource decodes a resource of the file source and returns the type of the resource. number is the position of
// the resource in the file, from 1.
func (d *decoder) decodeResource(source string, number int, body *anypb.Any) (ads.Type, error) {
	t, ok := ads.TypeByURL(body.GetTypeUrl())
	if !ok {
		return t, fmt.Errorf("resource %d: type %.200q is not supported", number, body.GetTypeUrl())
	}
	name, value, err := d.options.Decode(t, body)
	if err != nil {
		return t, fmt.Errorf("resource %d (%v %.*s): %w", number, t, ads.MaxNameBytes, name, err)
	}
	if name == "" || len(name) > ads.MaxNameBytes {
		return t, fmt.Errorf("resource %d (%v): the name is not 1 to %d bytes long", number, t, ads.MaxNameBytes)
	}
	key := resourceKey{t, name}
	if first, duplicate := d.sources[key]; duplicate {
		return t, fmt.Errorf("resource %d: %v is already defined in %s", number, key, first)
	}
	d.sources[key] = source
	u := &d.updates[t]
	u.Type = t
	u.Accepted = append(u.Accepted, ads.ValidResource{Name: name, Value: value})
	return t, nil
}
