package config

import (
	"strings"
	"testing"
)

const tenantsText = "[[tenant]]\nname = \"a\"\nquota_per_s = 20\n[[tenant]]\nname = \"b\"\ncertificates = [\"b.example.org\"]\n[end]\ntenants = 2\n"

// Guards against a tenants' file that is parsed to other tenants than it has, and against invalid ones that are accepted or
// rejected without the line and the key that are wrong.
func TestParseTenants(t *testing.T) {
	list, err := ParseTenants(File{"t.toml", []byte(tenantsText)})
	if err != nil || len(list) != 2 || list[0].Name != "a" || list[0].QuotaPerSecond != 20 || list[1].Certificates[0] != "b.example.org" {
		t.Fatalf("got %+v, error %v; want the tenants a and b of tenantsText", list, err)
	}
	if list, err := ParseTenants(File{"t.toml", []byte("[end]\ntenants = 0\n")}); err != nil || len(list) != 0 {
		t.Errorf("file without tenants: got %+v, error %v; want an empty list", list, err)
	}
	for _, tc := range []struct{ old, new, want string }{
		{tenantsText, "", "t.toml:1: is not whole"},
		{"tenants = 2", "tenants = 3", "t.toml:8: end: tenants: the file has 2 [[tenant]] tables"},
		{"= 20", "= -1", "t.toml:3: tenant 1: quota_per_s: -1"},
		{`"b"`, `"a"`, "t.toml:5: tenant 2: name: a is another one's too"},
		{"quota_per_s", "qouta_per_s", "t.toml:3: tenant.qouta_per_s: is no known key"},
		{"[end]", "[[class]]\nname = \"x\"\n[end]", "t.toml:7: class: is no known key"},
		{"= 20", "= \"x\"", "t.toml:3"},
	} {
		text := strings.Replace(tenantsText, tc.old, tc.new, 1)
		if _, err := ParseTenants(File{"t.toml", []byte(text)}); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%q in place of %q: got error %v, want %q", tc.new, tc.old, err, tc.want)
		}
	}
}

// Guards against a truncated tenants' file that is accepted, which would remove the tenants after the cut.
func TestEveryPrefixOfTenantsIsRefused(t *testing.T) {
	var b strings.Builder
	for i := range 12 { // 12 tenants, so that a cut within the count leaves another number
		b.WriteString("[[tenant]]\nname = \"" + string(rune('a'+i)) + "\"\nquota_per_s = 20\n")
	}
	b.WriteString("[end]\ntenants = 12\n")
	text := b.String()
	for n := range text {
		if _, err := ParseTenants(File{"t.toml", []byte(text[:n])}); err == nil {
			t.Errorf("a file truncated to %d of %d bytes was accepted", n, len(text))
		}
	}
	if _, err := ParseTenants(File{"t.toml", []byte(text)}); err != nil {
		t.Error(err)
	}
}

// Guards against tenants in both the program's file and their own file, and against a file whose kind IsTenants or IsCluster
// mistakes, which would report its problems as those of another kind.
func TestOnePlaceOfTenants(t *testing.T) {
	good := string(readExample(t, "yokestall.toml"))
	text := strings.Replace(good, "[files]\n", "[files]\ntenants = \"many.toml\"\n", 1)
	_, err := ParseProgram("x.toml", []byte(text))
	if err == nil || !strings.Contains(err.Error(), "files: tenants: many.toml is to have the tenants, but x.toml has [[tenant]] tables too") {
		t.Errorf("tenants in both files: got error %v, want one that names both files", err)
	}
	text = strings.Replace(text, "[[tenant]]\nname = \"umurage-hotels\"\nquota_per_s = 80", "", 1)
	p, err := ParseProgram("x.toml", []byte(text))
	if err != nil || p.Files.Tenants != "many.toml" || len(p.Tenants) != 0 {
		t.Fatalf("tenants in their own file: got error %v, want none, its path and no tenants", err)
	}
	list, err := ParseTenants(File{"many.toml", []byte(tenantsText)})
	if err != nil {
		t.Fatal(err)
	}
	if with := p.WithTenants(list); &with.Tenants[0] != &list[0] || with.Table != p.Table || len(p.Tenants) != 0 {
		t.Errorf("got %+v, want a copy with the list's tenants and the same routing table", with)
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
			t.Errorf("%s: got IsTenants %v, IsCluster %v; want true for the kind of file that the case is, false otherwise", name, IsTenants(tc.text), IsCluster(tc.text))
		}
	}
}

// Guards against tenants' files for which ParseTenants panics, accepts a truncated file, returns a tenant without a name or two
// with the same name, or returns an error without the file's name.
func FuzzParseTenants(f *testing.F) {
	f.Add([]byte(tenantsText))
	f.Add([]byte("[end]\ntenants = 0\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := ParseTenants(File{"t.toml", text})
		if err != nil {
			if !strings.HasPrefix(err.Error(), "t.toml") {
				t.Errorf("error %v does not begin with the file's name", err)
			}
			return
		}
		seen := map[string]bool{}
		for i := range list {
			if list[i].Name == "" || seen[list[i].Name] {
				t.Fatalf("tenant %d has the name %q, want a unique name that is not empty", i, list[i].Name)
			}
			seen[list[i].Name] = true
		}
		for n := max(0, len(text)-200); n < len(text); n++ {
			if _, err := ParseTenants(File{"t.toml", text[:n]}); err == nil {
				t.Errorf("a file truncated to %d of %d bytes was accepted", n, len(text))
			}
		}
	})
}
