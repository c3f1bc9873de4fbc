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

// example is the set under deploy/xds.
func example(t testing.TB) (files []config.File) {
	t.Helper()
	names, err := filepath.Glob("../../../deploy/xds/*.yaml")
	if err != nil || len(names) < 3 {
		t.Fatalf("%v, %v", names, err)
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

// The example set comes to the same in each form; no part of a file is taken for the whole.
func TestForms(t *testing.T) {
	asYAML := example(t)
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
		if len(list) == 1 { // bare
			if b, err = proto.Marshal(list[0]); err != nil {
				t.Fatal(err)
			}
		}
		asBinary = append(asBinary, config.File{Name: f.Name + ".pb", Text: b},
			config.File{Name: f.Name + ".pb.sha256", Text: fmt.Appendf(nil, "%x  %s.pb\n", sha256.Sum256(b), f.Name)})
	}
	shape := ""
	for name, set := range map[string][]config.File{"yaml": asYAML, "json": asJSON, "binary": asBinary} {
		v, err := Parse(set, options, state.Options{Listener: "ingress"})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got := fmt.Sprint(v.Routes.Table.Clusters())
		for _, c := range v.Clusters {
			got += fmt.Sprint(c.Name, c.Endpoints)
		}
		if shape == "" {
			shape = got
		}
		if len(got) != len(shape) || v.Routes == nil || len(v.Clusters) != 1 {
			t.Errorf("%s comes to %s, another form to %s", name, got, shape)
		}
		for i, f := range set {
			if strings.HasSuffix(f.Name, ChecksumSuffix) {
				continue
			}
			for n := 0; n < len(f.Text); n += 1 + len(f.Text)/97 {
				cut := append([]config.File(nil), set...)
				cut[i].Text = f.Text[:n]
				if _, err := Parse(cut, options, state.Options{Listener: "ingress"}); err == nil {
					t.Errorf("%s: the first %d of %d bytes of %s are taken", name, n, len(f.Text), f.Name)
				}
			}
		}
	}
}

// What is wrong is named by file and resource.
func TestFaults(t *testing.T) {
	good := example(t)
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
			"stands in",
		},
		"no endpoints": {good[:1], "no file has its endpoints"},
		"not JSON":     {[]config.File{{Name: "a.json", Text: []byte("{\n\"resources\": [\n}")}}, "a.json: line 3"},
		"another type": {
			[]config.File{{
				Name: "a.json",
				Text: []byte(`{"@type":"type.googleapis.com/google.protobuf.Duration","value":"1s"}`),
			}},
			"is not taken",
		},
		"a wrong checksum": {
			[]config.File{{Name: "a.pb", Text: []byte("x")}, {Name: "a.pb.sha256", Text: []byte("00  a.pb\n")}},
			"a.pb: is not whole",
		},
		"nothing in it": {[]config.File{{Name: "a.json", Text: []byte("{}")}}, `neither "@type" nor "resources"`},
	} {
		_, err := Parse(c.files, options, state.Options{Listener: "ingress"})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
	if err := Check(good[:1]); err != nil {
		t.Errorf("a file by itself: %v", err)
	}
}

// FuzzParse: any bytes are taken or refused, by all forms.
func FuzzParse(f *testing.F) {
	for _, x := range example(f) {
		f.Add(1, x.Text)
	}
	f.Add(0, []byte(`{"resources":[]}`))
	f.Fuzz(func(_ *testing.T, form int, text []byte) {
		name := "x" + Extensions[uint(form)%uint(len(Extensions))]
		checksum := fmt.Appendf(nil, "%x", sha256.Sum256(text))
		Check([]config.File{{Name: name, Text: text}, {Name: name + ChecksumSuffix, Text: checksum}})
	})
}
