package translate

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/types/known/anypb"

	"yokestall/internal/xds/ads"
)

// FuzzDecode: whatever the bytes are, a resource is taken or refused with a reason.
func FuzzDecode(f *testing.F) {
	for _, s := range subjects {
		whole, _ := s.make()
		f.Add(int(s.t), pack(whole()).Value)
	}
	f.Fuzz(func(t *testing.T, kind int, body []byte) {
		which := ads.Type(uint(kind) % uint(ads.TypeCount))
		name, value, err := options.Decode(which, &anypb.Any{TypeUrl: which.URL(), Value: body})
		if err != nil {
			if strings.Contains(err.Error(), "can't be read") {
				t.Fatalf("a panic: %v", err)
			}
			return
		}
		switch v := value.(type) {
		case *ClusterResource:
			if v.Name != name {
				t.Fatalf("%q, %q", v.Name, name)
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
