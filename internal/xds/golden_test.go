package xds

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"yokestall/internal/testutil/golden"
	"yokestall/internal/xds/ads"
)

const goldenKept = "testdata/golden/kept"

// goldenURLs are the URLs of the types, as the kept file has them.
var goldenURLs = [ads.TypeCount]string{
	"type.googleapis.com/envoy.config.listener.v3.Listener",
	"type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
	"type.googleapis.com/envoy.config.cluster.v3.Cluster",
	"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
}

// goldenResource returns the resource of a type in the kept file.
func goldenResource(t ads.Type) ads.Resource {
	return ads.Resource{
		Name: fmt.Sprintf("name-%d", t), Version: fmt.Sprintf("version-%d", t),
		Body: &anypb.Any{TypeUrl: goldenURLs[t], Value: []byte(fmt.Sprintf("body-%d", t))},
	}
}

// writeGoldenKept writes the kept file with one resource of each type.
func writeGoldenKept(t *testing.T, path string) {
	t.Helper()
	m := ads.New(ads.Options{})
	k := newVersionCache(path, slog.New(slog.DiscardHandler))
	for typ := range ads.TypeCount {
		r := goldenResource(typ)
		m.Restore(typ, fmt.Sprintf("type-version-%d", typ), map[string]string{r.Name: r.Version})
		valid := ads.ValidResource{Name: r.Name, Version: r.Version, Body: r.Body}
		k.record(&ads.Update{Type: typ, Accepted: []ads.ValidResource{valid}})
	}
	k.close(m)
}

func TestGoldenKeptVersionDecodes(t *testing.T) {
	got, err := parseCacheFile(golden.Read(t, goldenKept))
	if err != nil {
		t.Fatal(err)
	}
	if want := time.UnixMilli(1796288693765); !got.savedAt.Equal(want) {
		t.Errorf("written at %v; want %v", got.savedAt, want)
	}
	for typ := range ads.TypeCount {
		want := goldenResource(typ)
		r := got.resources[typ][want.Name]
		if len(got.resources[typ]) != 1 || r.Name != want.Name || r.Version != want.Version ||
			!proto.Equal(r.Body, want.Body) {
			t.Errorf("type %d: %+v; want %+v", typ, got.resources[typ], want)
		}
		if want := fmt.Sprintf("type-version-%d", typ); got.versions[typ] != want {
			t.Errorf("type %d: version %q; want %q", typ, got.versions[typ], want)
		}
	}
}

// The first line has the time of writing, so that only its first word, its hash and the rest are compared.
func TestGoldenKeptVersionIsWrittenAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "kept")
	writeGoldenKept(t, path)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotLine, gotBody, _ := bytes.Cut(text, []byte("\n"))
	wantLine, wantBody, _ := bytes.Cut(golden.Read(t, goldenKept), []byte("\n"))
	got, want := bytes.Split(gotLine, []byte(" ")), bytes.Split(wantLine, []byte(" "))
	if len(got) != 3 || len(want) != 3 || !bytes.Equal(got[0], want[0]) || !bytes.Equal(got[2], want[2]) {
		t.Errorf("first line %q; want %q", gotLine, wantLine)
	}
	if !bytes.Equal(gotBody, wantBody) {
		t.Errorf("written\n%q\nwant\n%q", gotBody, wantBody)
	}
}
