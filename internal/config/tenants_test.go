package config

import (
	"strings"
	"testing"
)

const tenantsText = "[[tenant]]\nname = \"a\"\nquota_per_s = 20\n[[tenant]]\nname = \"b\"\ncertificates = [\"b.example.org\"]\n[end]\ntenants = 2\n"

// A file of tenants is read as those of the program's file are, and its faults are told by their lines.
func TestParseTenants(t *testing.T) {
	list, err := ParseTenants(File{"t.toml", []byte(tenantsText)})
	if err != nil || len(list) != 2 || list[0].Name != "a" || list[0].QuotaPerS != 20 || list[1].Certificates[0] != "b.example.org" {
		t.Fatalf("%+v, %v", list, err)
	}
	if list, err := ParseTenants(File{"t.toml", []byte("[end]\ntenants = 0\n")}); err != nil || len(list) != 0 {
		t.Errorf("none: %+v, %v", list, err)
	}
	for _, tc := range []struct{ old, new, want string }{
		{tenantsText, "", "t.toml:1: is not whole"},
		{"tenants = 2", "tenants = 3", "t.toml:8: end: tenants: 2 tenants are named"},
		{"= 20", "= -1", "t.toml:3: tenant 1: quota_per_s: -1"},
		{`"b"`, `"a"`, "t.toml:5: tenant 2: name: a is another one's too"},
		{"quota_per_s", "qouta_per_s", "t.toml:3: tenant.qouta_per_s: is no known key"},
		{"[end]", "[[class]]\nname = \"x\"\n[end]", "t.toml:7: class: is no known key"},
		{"= 20", "= \"x\"", "t.toml:3"},
	} {
		text := strings.Replace(tenantsText, tc.old, tc.new, 1)
		if _, err := ParseTenants(File{"t.toml", []byte(text)}); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%q for %q: %v, want %q", tc.new, tc.old, err, tc.want)
		}
	}
}

// No part of a file of tenants is taken for the whole.
func TestEveryPrefixOfTenantsIsRefused(t *testing.T) {
	var b strings.Builder
	for i := range 12 { // so that the count has two digits, of which a cut leaves one
		b.WriteString("[[tenant]]\nname = \"" + string(rune('a'+i)) + "\"\nquota_per_s = 20\n")
	}
	b.WriteString("[end]\ntenants = 12\n")
	text := b.String()
	for n := range text {
		if _, err := ParseTenants(File{"t.toml", []byte(text[:n])}); err == nil {
			t.Errorf("%d of %d bytes are taken", n, len(text))
		}
	}
	if _, err := ParseTenants(File{"t.toml", []byte(text)}); err != nil {
		t.Error(err)
	}
}

// Tenants stand in one place; each file is told for what it is.
func TestOnePlaceOfTenants(t *testing.T) {
	good := string(readExample(t, "yokestall.toml"))
	text := strings.Replace(good, "[files]\n", "[files]\ntenants = \"many.toml\"\n", 1)
	_, err := ParseProgram("x.toml", []byte(text))
	if err == nil || !strings.Contains(err.Error(), "files: tenants: many.toml is to have the tenants, and x.toml has [[tenant]] too") {
		t.Errorf("both: %v", err)
	}
	text = strings.Replace(text, "[[tenant]]\nname = \"umurage-hotels\"\nquota_per_s = 80", "", 1)
	p, err := ParseProgram("x.toml", []byte(text))
	if err != nil || p.Files.Tenants != "many.toml" || len(p.Tenants) != 0 {
		t.Fatalf("its own file: %v", err)
	}
	list, err := ParseTenants(File{"many.toml", []byte(tenantsText)})
	if err != nil {
		t.Fatal(err)
	}
	if with := p.WithTenants(list); &with.Tenants[0] != &list[0] || with.Table != p.Table || len(p.Tenants) != 0 {
		t.Errorf("%+v", with)
	}
	rooms := readExample(t, "clusters/rooms.toml")
	for name, tc := range map[string]struct {
		text             []byte
		tenants, cluster bool
	}{
		"tenants": {[]byte(tenantsText), true, false}, "part of them": {[]byte(tenantsText[:40]), true, false}, "none": {[]byte("[end]\ntenants = 0\n"), true, true},
		"a program": {[]byte(good), false, false}, "a cluster": {rooms, false, true},
	} {
		if IsTenants(tc.text) != tc.tenants || IsCluster(tc.text) != tc.cluster {
			t.Errorf("%s: tenants %v, a cluster %v", name, IsTenants(tc.text), IsCluster(tc.text))
		}
	}
}

func FuzzParseTenants(f *testing.F) {
	f.Add([]byte(tenantsText))
	f.Add([]byte("[end]\ntenants = 0\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := ParseTenants(File{"t.toml", text})
		if err != nil {
			if !strings.HasPrefix(err.Error(), "t.toml") {
				t.Errorf("no place in %v", err)
			}
			return
		}
		seen := map[string]bool{}
		for i := range list {
			if list[i].Name == "" || seen[list[i].Name] {
				t.Fatalf("tenant %d: name %q", i, list[i].Name)
			}
			seen[list[i].Name] = true
		}
		for n := max(0, len(text)-200); n < len(text); n++ {
			if _, err := ParseTenants(File{"t.toml", text[:n]}); err == nil {
				t.Errorf("a part of %d bytes of %d is taken", n, len(text))
			}
		}
	})
}
