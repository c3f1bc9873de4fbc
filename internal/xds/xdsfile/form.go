package xdsfile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"strings"

	// These imports register message types that resources often contain. An Any with a message of an unregistered type
	// can't be parsed from JSON or YAML.
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/least_request/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/round_robin/v3"
	_ "github.com/envoyproxy/go-control-plane/envoy/extensions/upstreams/http/v3"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"sigs.k8s.io/yaml"

	"yokestall/internal/config"
	"yokestall/internal/xds/ads"
)

// resources parses the resources of a file. checksum is the content of the checksum file, which only a binary file needs. If
// there is one beside a file in another form, it has to match too.
func resources(f config.File, checksum []byte) ([]*anypb.Any, error) {
	if len(f.Text) > config.MaxFileBytes {
		return nil, fmt.Errorf("larger than the limit of %d bytes", config.MaxFileBytes)
	}
	if (path.Ext(f.Name) == ".pb" || checksum != nil) && !matchesChecksum(f.Text, checksum) {
		return nil, fmt.Errorf("is not whole: its SHA-256 is not in %s, which has to hold it as sha256sum writes it",
			path.Base(f.Name)+ChecksumSuffix)
	}
	switch path.Ext(f.Name) {
	case ".pb":
		return parseBinary(f.Text)
	case ".yaml", ".yml":
		if err := config.VerifyChecksum("", f.Text); err != nil {
			return nil, err
		}
		if !hasDocumentEnd(f.Text) {
			return nil, errors.New(`is not whole: the last line has to be "..."`)
		}
		text, err := yaml.YAMLToJSONStrict(f.Text)
		if err != nil {
			return nil, err
		}
		return parseJSON(text)
	}
	return parseJSON(f.Text)
}

// matchesChecksum reports whether text has the SHA-256 that checksum states. checksum is the output of sha256sum.
func matchesChecksum(text, checksum []byte) bool {
	actual := sha256.Sum256(text)
	stated, _, _ := strings.Cut(strings.TrimSpace(string(checksum)), " ")
	return stated == hex.EncodeToString(actual[:])
}

// hasDocumentEnd reports whether the last line of a YAML file is "...", ended by a line break.
func hasDocumentEnd(text []byte) bool {
	trimmed := bytes.TrimRight(text, "\r\n")
	return bytes.HasSuffix(trimmed, []byte("\n...")) && len(trimmed) < len(text)
}

// parseBinary returns the resources of a serialized DiscoveryResponse, or the single resource of a serialized Any. The
// first field of both messages is a string: a supported type URL shows an Any, as it can't be a response's version.
func parseBinary(text []byte) ([]*anypb.Any, error) {
	var single anypb.Any
	if proto.Unmarshal(text, &single) == nil {
		if _, ok := ads.TypeByURL(single.GetTypeUrl()); ok {
			return []*anypb.Any{&single}, nil
		}
	}
	var r discoveryv3.DiscoveryResponse
	if err := proto.Unmarshal(text, &r); err != nil || len(r.GetResources()) == 0 {
		return nil, errors.New("neither a DiscoveryResponse with resources nor an Any with a resource")
	}
	return r.GetResources(), nil
}

// parseJSON returns the resources of a DiscoveryResponse in JSON, or a single resource in JSON with its "@type".
func parseJSON(text []byte) (list []*anypb.Any, err error) {
	var shape struct {
		Type      string            `json:"@type"`
		Resources []json.RawMessage `json:"resources"`
	}
	if err := json.Unmarshal(text, &shape); err != nil {
		return nil, withLine(err, text)
	}
	parts := shape.Resources
	if shape.Type != "" {
		parts = []json.RawMessage{text}
	} else if len(parts) == 0 {
		return nil, errors.New(`the JSON object has neither "@type" nor "resources"`)
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

// withLine adds the line number to a JSON syntax error. Other errors are returned as they are.
func withLine(err error, text []byte) error {
	var syntaxError *json.SyntaxError
	if !errors.As(err, &syntaxError) {
		return err
	}
	line := 1 + bytes.Count(text[:min(int(syntaxError.Offset), len(text))], []byte("\n"))
	return fmt.Errorf("line %d: %w", line, err)
}
