package translate

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/types/known/anypb"

	"yokestall/internal/xds/ads"
)

// FuzzDecode checks that any bytes are either accepted or rejected with an error without a panic, and that an accepted
// resource is valid for the program.
func FuzzDecode(f *testing.F) {
	for _, s := range subjects {
		whole, _ := s.make()
		f.Add(int(s.t), pack(whole()).Value)
	}
	f.Fuzz(func(t *testing.T, kind int, body []byte) {
		resourceType := ads.Type(uint(kind) % uint(ads.TypeCount))
		name, value, err := options.Decode(resourceType, &anypb.Any{TypeUrl: resourceType.URL(), Value: body})
		if err != nil {
			if strings.Contains(err.Error(), "internal error while decoding the resource") {
				t.Fatalf("Decode panicked: %v", err)
			}
			return
		}
		switch v := value.(type) {
		case *ClusterResource:
			if v.Name != name {
				t.Fatalf("the resource has the name %q, but Decode returned the name %q", v.Name, name)
			}
			if v.StaticAssignment != nil {
				if err := v.Build(v.StaticAssignment).Check(nil); err != nil {
					t.Fatal(err)
				}
			}
		case *Assignment:
			for _, weighted := range []bool{false, true} {
				c := ClusterResource{Name: "c", LocalityWeighted: weighted}
				if err := c.Build(v).Check(nil); err != nil {
					t.Fatal(err)
				}
			}
		case *Routes:
			v.Table.Clusters()
		}
	})
}
