package tlskeys

import (
	"testing"
	"time"
)

func TestForServerNames(t *testing.T) {
	a := newAuthority(t)
	var files []File
	for name, names := range map[string][]string{
		"one": {"one.test", "127.0.0.1"}, "wild": {"*.wild.test"}, "zero": {"zero.test"},
	} {
		cert, key := issue(t, a, -time.Hour, time.Hour, names...)
		files = append(files, File{name + ".crt", cert}, File{name + ".key", key})
	}
	cert, key := issue(t, a, -time.Hour, 2*time.Hour, "one.test") // ends later
	files = append(files, File{"zz.crt", cert}, File{"zz.key", key})
	set, faults := Update(Empty(), files, "zero", time.Now())
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	for server, want := range map[string]string{
		"one.test": "zz", "ONE.test.": "zz", "127.0.0.1": "one", "a.wild.test": "wild",
		"a.b.wild.test": "zero", "wild.test": "zero", "": "zero",
	} {
		if got := set.ForServerName(server); got.Name != want {
			t.Errorf("%q is served by %s, want %s", server, got.Name, want)
		}
	}
	if list := set.Expiring(time.Now(), 90*time.Minute); len(list) != 3 {
		t.Errorf("expiring: %v", list)
	}
}
