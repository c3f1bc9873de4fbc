package files

import (
	"bytes"
	"testing"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/testutil/golden"
)

// Bundle returns the files of a version under fixed names, with their bytes unchanged.
func TestGoldenBundle(t *testing.T) {
	const folder = "testdata/golden/"
	list, err := Bundle(folder + "program.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := [][2]string{{"yokestall.toml", "program.toml"}, {"tenants", "tenants.toml"}, {"rooms.toml", "clusters/rooms.toml"}}
	if len(list) != len(want) {
		t.Fatalf("Bundle returned %d files, want %d", len(list), len(want))
	}
	for i, w := range want {
		if list[i].Name != w[0] || !bytes.Equal(list[i].Text, golden.Read(t, folder+w[1])) {
			t.Errorf("file %d is %s with another name or text than the golden file:\n%s", i, list[i].Name, list[i].Text)
		}
	}
	if name := ChangePart("rooms", 0); name != "rooms+0001" || !IsChange("rooms+0001") {
		t.Errorf("ChangePart returned %q, want rooms+0001, and IsChange must report true for rooms+0001", name)
	}
}

func TestGoldenVersionDecodes(t *testing.T) {
	const folder = "testdata/golden/"
	s, err := Unbundle([]config.File{
		{Name: "yokestall.toml", Text: golden.Read(t, folder+"program.toml")},
		{Name: "tenants", Text: golden.Read(t, folder+"tenants.toml")},
		{Name: "rooms.toml", Text: golden.Read(t, folder+"clusters/rooms.toml")},
		{Name: "rooms+0001", Text: golden.Read(t, folder+"rooms+0001")},
	})
	if err != nil {
		t.Fatal(err)
	}
	if c := s.Program.Classes; len(c) != 1 || c[0].Name != "class-a" || c[0].Deadline != 2*time.Second {
		t.Errorf("classes are %+v, want class-a with a deadline of 2 s", c)
	}
	if l := s.Program.Tenants; len(l) != 1 || l[0].Name != "tenant-a" || l[0].QuotaPerSecond != 21 {
		t.Errorf("tenants are %+v, want tenant-a with a quota of 21 per second", l)
	}
	list := s.Version.Clusters["rooms"].Endpoints
	if len(list) != 2 || list[0].ID != "server-b" || list[0].Address != "10.0.0.2:81" || list[1].ID != "server-c" || list[1].Address != "10.0.0.3:82" {
		t.Errorf("endpoints are %+v, want server-b at 10.0.0.2:81 and server-c at 10.0.0.3:82", list)
	}
}
