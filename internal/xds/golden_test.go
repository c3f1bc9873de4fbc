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

const goldenCacheFile = "testdata/golden/kept"

// goldenURLs are the type URLs in the golden cache file.
var goldenURLs = [ads.TypeCount]string{
	"type.googleapis.com/envoy.config.listener.v3.Listener",
	"type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
	"type.googleapis.com/envoy.config.cluster.v3.Cluster",
	"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
}

// goldenResource returns the resource of a type in the golden cache file.
func goldenResource(t ads.Type) ads.Resource {
	return ads.Resource{
		Name: fmt.Sprintf("name-%d", t), Version: fmt.Sprintf("version-%d", t),
		Body: &anypb.Any{TypeUrl: goldenURLs[t], Value: []byte(fmt.Sprintf("body-%d", t))},
	}
}

// writeGoldenCacheFile writes a cache file with the content of the golden one: one resource of each type.
func writeGoldenCacheFile(t *testing.T, path string) {
	t.Helper()
	m := ads.New(ads.Options{})
	cache := newVersionCache(path, slog.New(slog.DiscardHandler))
	for typ := range ads.TypeCount {
		r := goldenResource(typ)
		m.Restore(typ, fmt.Sprintf("type-version-%d", typ), map[string]string{r.Name: r.Version})
		valid := ads.ValidResource{Name: r.Name, Version: r.Version, Body: r.Body}
		cache.record(&ads.Update{Type: typ, Accepted: []ads.ValidResource{valid}})
	}
	cache.close(m)
}

// TestGoldenKeptVersionDecodes checks that a cache file that an earlier build wrote is still read.
func TestGoldenKeptVersionDecodes(t *testing.T) {
	got, err := parseCacheFile(golden.Read(t, goldenCacheFile))
	if err != nil {
		t.Fatal(err)
	}
	if want := time.UnixMilli(1796288693765); !got.savedAt.Equal(want) {
		t.Errorf("got saved at %v, want %v", got.savedAt, want)
	}
	for typ := range ads.TypeCount {
		want := goldenResource(typ)
		r := got.resources[typ][want.Name]
		if len(got.resources[typ]) != 1 || r.Name != want.Name || r.Version != want.Version ||
			!proto.Equal(r.Body, want.Body) {
			t.Errorf("type %d: got resources %+v, want only %+v", typ, got.resources[typ], want)
		}
		if want := fmt.Sprintf("type-version-%d", typ); got.versions[typ] != want {
			t.Errorf("type %d: got version %q, want %q", typ, got.versions[typ], want)
		}
	}
}

// TestGoldenKeptVersionIsWrittenAgain checks that the written cache file equals the golden one, except for the time of
// writing in the first line.
func TestGoldenKeptVersionIsWrittenAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "kept")
	writeGoldenCacheFile(t, path)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotLine, gotBody, _ := bytes.Cut(text, []byte("\n"))
	wantLine, wantBody, _ := bytes.Cut(golden.Read(t, goldenCacheFile), []byte("\n"))
	got, want := bytes.Split(gotLine, []byte(" ")), bytes.Split(wantLine, []byte(" "))
	if len(got) != 3 || len(want) != 3 || !bytes.Equal(got[0], want[0]) || !bytes.Equal(got[2], want[2]) {
		t.Errorf("got first line %q, want %q with any time", gotLine, wantLine)
	}
	if !bytes.Equal(gotBody, wantBody) {
		t.Errorf("got content\n%q\nwant\n%q", gotBody, wantBody)
	}
}
