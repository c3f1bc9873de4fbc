package translate

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/types/known/structpb"
)

// Namespace is the key of the program's own part of a resource's metadata.
const Namespace = "yokestall"

// maxExactInteger is the largest integer up to which every integer has an exact value as a JSON number (a float64).
const maxExactInteger = 1 << 53

// ownMetadata returns the program's own part of the metadata. typed_filter_metadata (a google.protobuf.Struct) has
// precedence over filter_metadata. A key that is not in known is an error.
func ownMetadata(m *corev3.Metadata, known ...string) (map[string]*structpb.Value, error) {
	own := m.GetFilterMetadata()[Namespace]
	if a := m.GetTypedFilterMetadata()[Namespace]; a != nil {
		own = &structpb.Struct{}
		if !a.MessageIs(own) || a.UnmarshalTo(own) != nil {
			return nil, fmt.Errorf("metadata %s: not a valid google.protobuf.Struct", Namespace)
		}
	}
	for key := range own.GetFields() {
		if !slices.Contains(known, key) {
			return nil, fmt.Errorf("metadata %s: unknown key %.64s", Namespace, key)
		}
	}
	return own.GetFields(), nil
}

// integerField returns an integer field from 0 to maxExactInteger, and whether the field is present.
func integerField(fields map[string]*structpb.Value, key string) (n int64, found bool, err error) {
	v, found := fields[key]
	if !found {
		return 0, false, nil
	}
	number, ok := v.GetKind().(*structpb.Value_NumberValue)
	if !ok || number.NumberValue < 0 || number.NumberValue > maxExactInteger ||
		number.NumberValue != math.Trunc(number.NumberValue) {
		return 0, true, fmt.Errorf("metadata %s: %s: %w", Namespace, key, errNotInteger)
	}
	return int64(number.NumberValue), true, nil
}

var errNotInteger = errors.New("not an integer from 0 to 2^53")

// marshalFields returns the fields with the given keys as a JSON object. Absent fields are left out.
func marshalFields(fields map[string]*structpb.Value, keys ...string) ([]byte, error) {
	out := map[string]any{}
	for _, key := range keys {
		if v, ok := fields[key]; ok {
			out[key] = v.AsInterface()
		}
	}
	return json.Marshal(out)
}
