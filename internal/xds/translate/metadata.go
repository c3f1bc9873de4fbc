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

// Namespace is the program's own key in metadata.
const Namespace = "yokestall"

// maxExactInteger is the number up to which all integers are exact in a JSON number.
const maxExactInteger = 1 << 53

// ownMetadata returns the program's own part of metadata: typed_filter_metadata (a google.protobuf.Struct) before
// filter_metadata. Keys that are not known are errors.
func ownMetadata(m *corev3.Metadata, known ...string) (map[string]*structpb.Value, error) {
	own := m.GetFilterMetadata()[Namespace]
	if a := m.GetTypedFilterMetadata()[Namespace]; a != nil {
		own = &structpb.Struct{}
		if !a.MessageIs(own) || a.UnmarshalTo(own) != nil {
			return nil, fmt.Errorf("metadata %s: is no google.protobuf.Struct", Namespace)
		}
	}
	for key := range own.GetFields() {
		if !slices.Contains(known, key) {
			return nil, fmt.Errorf("metadata %s: %.64s is no known key", Namespace, key)
		}
	}
	return own.GetFields(), nil
}

// integerField returns an integer of 0 or more, and whether the field is there.
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

var errNotInteger = errors.New("is no whole number from 0 up")

// marshalFields returns some of the fields as a JSON object.
func marshalFields(fields map[string]*structpb.Value, keys ...string) ([]byte, error) {
	out := map[string]any{}
	for _, key := range keys {
		if v, ok := fields[key]; ok {
			out[key] = v.AsInterface()
		}
	}
	return json.Marshal(out)
}
