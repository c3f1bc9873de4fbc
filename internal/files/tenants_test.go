package files

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokestall/internal/config"
)

// tenantsFile returns the text of a tenants file with n tenants. first is the quota of the first tenant, in requests per
// second.
func tenantsFile(n, first int) string {
	return tenantsText(n, first) + fmt.Sprintf("[end]\ntenants = %d\n", n)
}

// tenantsSetting is the setting in [files] that names the tenants file.
const tenantsSetting = "tenants = \"tenants.toml\"\n"

// newTenantsFixture returns a fixture with a tenants file, its path, and the text of the program's file.
func newTenantsFixture(t *testing.T, n int) (f *fixture, name, text string) {
	f = newFixture(t)
	name, text = filepath.Join(filepath.Dir(f.path), "tenants.toml"), strings.Replace(program, "poll =", tenantsSetting+"poll =", 1)
	f.writeFile(f.path, text)
	f.writeFile(name, tenantsFile(n, 20))
	return f, name, text
}

// A change of a class keeps the same tenants, and a change of the tenants keeps the same routes. Each change parses one
// file.
func TestTenantsFile(t *testing.T) {
	f, name, text := newTenantsFixture(t, 5)
	r := watchManually(f)
	first := r.w.current.Program
	if len(first.Tenants) != 5 || first.Tenants[0].QuotaPerSecond != 20 {
		t.Fatalf("tenants are %+v, want 5 with a quota of 20 for the first", first.Tenants)
	}
	change := func(name, text string) *Configuration {
		t.Helper()
		awaitClockTick(t)
		parses := r.w.parser.parses()
		f.writeSealed(name, text)
		s := r.poll()
		if s == nil {
			t.Fatalf("the poll returned no version after a change; log:\n%s", f.logs.String())
		}
		if n := r.w.parser.parses() - parses; n != 1 {
			t.Errorf("the poll parsed %d files, want 1", n)
		}
		return s
	}
	if s := change(f.path, strings.Replace(text, `"1s"`, `"2s"`, 1)); &s.Program.Tenants[0] != &first.Tenants[0] || len(s.Program.Tenants) != 5 || s.Program.Classes[0].Deadline == first.Classes[0].Deadline {
		t.Error("after a change of a class the tenants are not the same values, or the class is unchanged")
	}
	before := r.w.current.Program
	if s := change(f.roomsFile(), clusterText("", 1, 2, 3, 5)); s.Program != before {
		t.Error("after a change of an endpoint list the program is not the same value")
	}
	if s := change(name, tenantsFile(6, 30)); len(s.Program.Tenants) != 6 || s.Program.Tenants[0].QuotaPerSecond != 30 || s.Program.Table != before.Table {
		t.Error("after a change of the tenants the routes are not the same value, or the tenants are unchanged")
	}
	awaitClockTick(t)
	f.writeFile(name, tenantsText(6, 40)) // incomplete, as while it is being written
	if r.poll() != nil {
		t.Error("an incomplete tenants file is accepted")
	}
	f.writeSealed(name, tenantsFile(6, 40))
	if s := r.poll(); s == nil || s.Program.Tenants[0].QuotaPerSecond != 40 {
		t.Error("the complete tenants file is not accepted")
	}
	r.settle()
	reads, parses := r.w.reader.reads, r.w.parser.parses()
	for range 100 {
		r.poll()
	}
	if r.w.reader.reads != reads || r.w.parser.parses() != parses {
		t.Error("polls read or parsed files though none had changed")
	}
}

// The tenants file is watched and checked like a cluster file. Check of the tenants file alone finds the same problem.
func TestTenantsFileFaults(t *testing.T) {
	f, name, text := newTenantsFixture(t, 5)
	f.watch()
	f.replaceFile(name, tenantsFile(5, 30))
	if s := f.awaitVersion(); s.Program.Tenants[0].QuotaPerSecond != 30 {
		t.Errorf("the first tenant is %+v, want a quota of 30", s.Program.Tenants[0])
	}
	f.writeFile(name, tenantsFile(5, -1))
	f.awaitLog("tenants.toml:3: tenant 1: quota_per_s: -1")
	if _, err := Check(name); err == nil || !strings.Contains(err.Error(), "tenants.toml:3: tenant 1: quota_per_s: -1") {
		t.Errorf("Check of a negative quota returned error %v, want the logged one", err)
	}
	f.replaceFile(name, tenantsFile(5, 7))
	if s := f.awaitVersion(); s.Program.Tenants[0].QuotaPerSecond != 7 {
		t.Errorf("the first tenant is %+v, want a quota of 7", s.Program.Tenants[0])
	}
	if _, err := Check(name); err != nil {
		t.Errorf("Check of a valid tenants file: %v", err)
	}
	f.writeFile(f.path, text+tenantsText(1, 20))
	f.awaitLog("files: tenants: tenants.toml is to have the tenants, but " + f.path + " has [[tenant]] tables too")
	f.writeFile(f.path, text)
	must(t, os.Remove(name))
	f.awaitLog("tenants.toml: no such file or directory")
	if len(f.versions) > 0 {
		t.Error("a version with rejected files is accepted")
	}
}

// A version of a fleet contains the tenants file as a part of its own. While it is unchanged, versions have the same tenant
// values.
func TestBundleTenants(t *testing.T) {
	f, _, _ := newTenantsFixture(t, 5)
	list, err := Bundle(f.path)
	if err != nil || len(list) != 3 || list[1].Name != TenantsPart {
		t.Fatalf("Bundle returned %+v, error %v; want 3 files, the second being the tenants file", list, err)
	}
	var p Parser
	first, err := p.Unbundle(list)
	if err != nil || len(first.Program.Tenants) != 5 {
		t.Fatalf("Unbundle returned %+v, error %v; want 5 tenants", first, err)
	}
	changed := append([]config.File{{Name: ProgramPart, Text: []byte(strings.Replace(string(list[0].Text), `"1s"`, `"2s"`, 1))}}, list[1:]...)
	parses := p.parses()
	second, err := p.Unbundle(changed)
	if err != nil || &second.Program.Tenants[0] != &first.Program.Tenants[0] || p.parses() != parses+1 {
		t.Errorf("Unbundle returned %+v, error %v after %d parses; want the same tenants after 1", second, err, p.parses()-parses)
	}
	for _, tc := range []struct {
		list []config.File
		want string
	}{
		{[]config.File{list[0], list[2]}, "tenants: is missing from the version"},
		{append(list, list[1]), "occurs more than once"},
		{append([]config.File{{Name: ProgramPart, Text: []byte(bundledProgram)}}, list[1:]...), "names no tenants file"},
		{[]config.File{list[0], list[2], {Name: TenantsPart, Text: []byte("[[tenant]]\n")}}, "tenants:2: is not whole"},
	} {
		if _, err := p.Unbundle(tc.list); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("Unbundle returned error %v, want one with %q", err, tc.want)
		}
	}
}
