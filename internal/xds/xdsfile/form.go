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

	// Types that resources often contain: a message of an unknown type can't be parsed from JSON or YAML.
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

// resources returns the resources of a file. checksum is the content of a binary file's checksum file.
func resources(f config.File, checksum []byte) ([]*anypb.Any, error) {
	if len(f.Text) > config.MaxFile {
		return nil, fmt.Errorf("over %d bytes", config.MaxFile)
	}
	switch path.Ext(f.Name) {
	case ".pb":
		if !matchesChecksum(f.Text, checksum) {
			return nil, fmt.Errorf("is not whole: %s has to hold its SHA-256, as sha256sum writes it",
				path.Base(f.Name)+ChecksumSuffix)
		}
		return parseBinary(f.Text)
	case ".yaml", ".yml":
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

// matchesChecksum reports whether a file has the SHA-256 that a checksum file of sha256sum states.
func matchesChecksum(text, checksum []byte) bool {
	actual := sha256.Sum256(text)
	stated, _, _ := strings.Cut(strings.TrimSpace(string(checksum)), " ")
	return stated == hex.EncodeToString(actual[:])
}

// hasDocumentEnd reports whether the last line of a YAML file is "...", with its line break.
func hasDocumentEnd(text []byte) bool {
	trimmed := bytes.TrimRight(text, "\r\n")
	return bytes.HasSuffix(trimmed, []byte("\n...")) && len(trimmed) < len(text)
}

// parseBinary returns the resources of a DiscoveryResponse, or a bare resource in an Any. The first field of an Any,
// the type URL, can't be a response's version.
func parseBinary(text []byte) ([]*anypb.Any, error) {
	var bare anypb.Any
	if proto.Unmarshal(text, &bare) == nil {
		if _, ok := ads.TypeByURL(bare.GetTypeUrl()); ok {
			return []*anypb.Any{&bare}, nil
		}
	}
	var r discoveryv3.DiscoveryResponse
	if err := proto.Unmarshal(text, &r); err != nil || len(r.GetResources()) == 0 {
		return nil, errors.New("is neither a DiscoveryResponse with resources nor a resource in an Any")
	}
	return r.GetResources(), nil
}

// parseJSON returns the resources of a DiscoveryResponse, or a bare resource.
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

// withLine adds the line to a JSON syntax error.
func withLine(err error, text []byte) error {
	var syntaxError *json.SyntaxError
	if !errors.As(err, &syntaxError) {
		return err
	}
	line := 1 + bytes.Count(text[:min(int(syntaxError.Offset), len(text))], []byte("\n"))
	return fmt.Errorf("line %d: %w", line, err)
}
