package cli

import "testing"

// The error for an invalid release names the file and the invalid setting.
func TestReleaseFile(t *testing.T) {
	for _, tc := range []struct{ text, want string }{
		{"cluster = \"a\"\n", "waves: 0"},
		{"cluster = \"a\"\nservers = [\"x\", \"x\"]\n", "listed more than once"},
		{"cluster = \"a\"\nservers = [\"x\"]\nat_once = 0\n", "at_once: 0 is below 1"},
		{"servers = [\"x\"]\n", "id and cluster"},
		{"cluster = \"a\"\nservers = [\"x\"]\ndrain = \"2h\"\n", "drain: 2h0m0s"},
		{"cluster = \"a\"\nwhen = 3\n", "when"},
		{"cluster = \"a\"\nservers = [\"x\"]\nwaves = [[\"y\"]]\n", "waves, or servers"},
	} {
		_, err := parseRelease("r.toml", []byte(tc.text))
		if !failsWith(err, tc.want) || !failsWith(err, "r.toml") {
			t.Errorf("parseRelease(%q): error %v; want the file's name and the setting", tc.text, err)
		}
	}
}
