package xdsfile

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"sigs.k8s.io/yaml"

	"yokestall/internal/config"
	"yokestall/internal/xds/state"
	"yokestall/internal/xds/translate"
)

// exampleFiles returns the example files in deploy/xds.
func exampleFiles(t testing.TB) (files []config.File) {
	t.Helper()
	names, err := filepath.Glob("../../../deploy/xds/*.yaml")
	if err != nil || len(names) < 3 {
		t.Fatalf("got example files %v, error %v; want at least 3 files", names, err)
	}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, config.File{Name: filepath.Base(name), Text: text})
	}
	return files
}

var options = translate.Options{Classes: []string{"avail-read", "booking-push"}}

// TestForms checks that the example files give the same content in YAML, JSON and binary form, compared by the length
// of its text, and that no truncated file is accepted.
func TestForms(t *testing.T) {
	asYAML := exampleFiles(t)
	var asJSON, asBinary []config.File
	for _, f := range asYAML {
		text, err := yaml.YAMLToJSON(f.Text)
		if err != nil {
			t.Fatal(err)
		}
		asJSON = append(asJSON, config.File{Name: f.Name + ".json", Text: text})
		list, err := resources(f, nil)
		if err != nil {
			t.Fatal(err)
		}
		b, err := proto.Marshal(&discoveryv3.DiscoveryResponse{VersionInfo: "1", Resources: list})
		if err != nil {
			t.Fatal(err)
		}
		if len(list) == 1 { // a single resource in an Any
			if b, err = proto.Marshal(list[0]); err != nil {
				t.Fatal(err)
			}
		}
		asBinary = append(asBinary, config.File{Name: f.Name + ".pb", Text: b},
			config.File{Name: f.Name + ".pb.sha256", Text: fmt.Appendf(nil, "%x  %s.pb\n", sha256.Sum256(b), f.Name)})
	}
	reference := ""
	for name, set := range map[string][]config.File{"yaml": asYAML, "json": asJSON, "binary": asBinary} {
		v, err := Parse(set, options, state.Options{Listener: "ingress"})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got := fmt.Sprint(v.Routes.Table.Clusters())
		for _, c := range v.Clusters {
			got += fmt.Sprint(c.Name, c.Endpoints)
		}
		if reference == "" {
			reference = got
		}
		if len(got) != len(reference) || v.Routes == nil || len(v.Clusters) != 1 {
			t.Errorf("form %s has the content %s, want %s as in another form, and one cluster", name, got, reference)
		}
		for i, f := range set {
			if strings.HasSuffix(f.Name, ChecksumSuffix) {
				continue
			}
			for n := 0; n < len(f.Text); n += 1 + len(f.Text)/97 {
				cut := append([]config.File(nil), set...)
				cut[i].Text = f.Text[:n]
				if _, err := Parse(cut, options, state.Options{Listener: "ingress"}); err == nil {
					t.Errorf("%s: the first %d of %d bytes of %s were accepted", name, n, len(f.Text), f.Name)
				}
			}
		}
	}
}

// TestFaults checks that errors name the file, the resource or the field that is wrong.
func TestFaults(t *testing.T) {
	good := exampleFiles(t)
	all := func(change func(f *config.File)) []config.File {
		set := append([]config.File(nil), good...)
		for i := range set {
			change(&set[i])
		}
		return set
	}
	replace := func(former, latter string) []config.File {
		return all(func(f *config.File) { f.Text = []byte(strings.ReplaceAll(string(f.Text), former, latter)) })
	}
	for name, c := range map[string]struct {
		files []config.File
		want  string
	}{
		"unknown class": {replace("class: booking-push", "class: booking"), `class "booking" is not known`},
		"unknown field": {replace("health_status", "health"), `unknown field "health"`},
		"no end":        {replace("\n...\n", "\n"), `endpoints.yaml: is not whole`},
		"twice": {
			append(append([]config.File(nil), good...), config.File{Name: "more.yaml", Text: good[0].Text}),
			"is already defined in",
		},
		"no endpoints": {good[:1], "no file has the endpoints of cluster"},
		"not JSON":     {[]config.File{{Name: "a.json", Text: []byte("{\n\"resources\": [\n}")}}, "a.json: line 3"},
		"another type": {
			[]config.File{{
				Name: "a.json",
				Text: []byte(`{"@type":"type.googleapis.com/google.protobuf.Duration","value":"1s"}`),
			}},
			"is not supported",
		},
		"a wrong checksum": {
			[]config.File{{Name: "a.pb", Text: []byte("x")}, {Name: "a.pb.sha256", Text: []byte("00  a.pb\n")}},
			"a.pb: is not whole",
		},
		"nothing in it": {[]config.File{{Name: "a.json", Text: []byte("{}")}}, `neither "@type" nor "resources"`},
	} {
		_, err := Parse(c.files, options, state.Options{Listener: "ingress"})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %q in it", name, err, c.want)
		}
	}
	if err := Check(good[:1]); err != nil {
		t.Errorf("got error %v for a valid file without the others, want none", err)
	}
}

// FuzzParse checks that any bytes, in any form, are accepted or rejected without a panic.
func FuzzParse(f *testing.F) {
	for _, x := range exampleFiles(f) {
		f.Add(1, x.Text)
	}
	f.Add(0, []byte(`{"resources":[]}`))
	f.Fuzz(func(_ *testing.T, form int, text []byte) {
		name := "x" + Extensions[uint(form)%uint(len(Extensions))]
		checksum := fmt.Appendf(nil, "%x", sha256.Sum256(text))
		Check([]config.File{{Name: name, Text: text}, {Name: name + ChecksumSuffix, Text: checksum}})
	})
}
