package tlskeys

import (
	"testing"
	"time"
)

// Guards against a pair that is selected for another server name: names match in any case and with a final dot, a wildcard
// stands for one label, of two pairs for a name the one that expires later is used, and unknown names get the default pair.
func TestForServerNames(t *testing.T) {
	a := newAuthority(t)
	var files []File
	for name, names := range map[string][]string{
		"one": {"one.test", "127.0.0.1"}, "wild": {"*.wild.test"}, "zero": {"zero.test"},
	} {
		cert, key := issue(t, a, -time.Hour, time.Hour, names...)
		files = append(files, File{name + ".crt", cert}, File{name + ".key", key})
	}
	cert, key := issue(t, a, -time.Hour, 2*time.Hour, "one.test") // expires later than the pair "one"
	files = append(files, File{"zz.crt", cert}, File{"zz.key", key})
	set, fileErrs := Update(Empty(), files, "zero", time.Now())
	if len(fileErrs) > 0 {
		t.Fatal(fileErrs)
	}
	for server, want := range map[string]string{
		"one.test": "zz", "ONE.test.": "zz", "127.0.0.1": "one", "a.wild.test": "wild",
		"a.b.wild.test": "zero", "wild.test": "zero", "": "zero",
	} {
		if got := set.ForServerName(server); got.Name != want {
			t.Errorf("server name %q: got pair %s, want %s", server, got.Name, want)
		}
	}
	if list := set.Expiring(time.Now(), 90*time.Minute); len(list) != 3 {
		t.Errorf("pairs that expire within 90 minutes: got %v, want one, wild and zero", list)
	}
}
