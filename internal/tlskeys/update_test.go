package tlskeys

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"yokestall/internal/fake/keymaker"
)

// Guards against an entry that is used although its files are faulty or partly written, and against errors without the file and
// the cause: the earlier entry must remain in use.
func TestFaultyEntries(t *testing.T) {
	a := newAuthority(t)
	cert, key := issue(t, a, -time.Hour, time.Hour, "a.test")
	good := []File{
		{"a.crt", cert}, {"a.key", key}, {"ca.ca", a.PEM}, {"s.tickets", []byte(strings.Repeat("ab", 32) + "\n")},
	}
	old, fileErrs := Update(Empty(), good, "", time.Now())
	if len(fileErrs) > 0 {
		t.Fatal(fileErrs)
	}
	otherCert, otherKey := issue(t, a, -time.Hour, time.Hour, "b.test")
	lateCert, lateKey := issue(t, a, -2*time.Hour, -time.Hour, "a.test")
	soonCert, soonKey := issue(t, a, time.Hour, 2*time.Hour, "a.test")
	other := newAuthority(t)
	end := bytes.Index(cert, []byte("-----END"))
	wrongChain := slices.Concat(cert[:end], []byte("-----END CERTIFICATE-----\n"), other.PEM)
	for _, tc := range []struct {
		name, file string
		files      []File
		want       string
	}{
		{"no key", "a.crt", []File{{"a.crt", cert}}, "there is no key file"},
		{"no certificate", "a.key", []File{{"a.key", key}}, "there is no certificate file"},
		{"another's key", "a.crt", []File{{"a.crt", cert}, {"a.key", otherKey}}, "private key does not match"},
		{"another's certificate", "a.crt", []File{{"a.crt", otherCert}, {"a.key", key}}, "private key does not match"},
		{"expired", "a.crt", []File{{"a.crt", lateCert}, {"a.key", lateKey}}, "expired at"},
		{"not yet", "a.crt", []File{{"a.crt", soonCert}, {"a.key", soonKey}}, "is not valid before"},
		{"another chain", "a.crt", []File{{"a.crt", wrongChain}, {"a.key", key}}, "out of order"},
		{"empty", "a.crt", []File{{"a.crt", nil}, {"a.key", key}}, "has no certificate"},
		{
			"a key in it", "a.crt", []File{{"a.crt", slices.Concat(key, cert)}, {"a.key", key}},
			`PEM block of type "PRIVATE KEY"`,
		},
		{"too long", "a.crt", []File{{"a.crt", make([]byte, MaxFileBytes+1)}, {"a.key", key}}, "the limit is"},
		{"roots cut", "ca.ca", []File{{"ca.ca", a.PEM[:len(a.PEM)/2]}}, "is truncated"},
		{"tickets cut", "s.tickets", []File{{"s.tickets", []byte("abab")}}, "does not end with a line feed"},
		{"tickets malformed", "s.tickets", []File{{"s.tickets", []byte("xy\n")}}, "hexadecimal"},
	} {
		set, fileErrs := Update(old, tc.files, "", time.Now())
		first := ""
		if len(fileErrs) > 0 {
			first = fileErrs[0].Error()
		}
		if !strings.HasPrefix(first, tc.file+": ") || !strings.Contains(first, tc.want) {
			t.Errorf("%s: got errors %v, want the first one to have the file and the text of the case", tc.name, fileErrs)
			continue
		}
		stays := true
		switch tc.file {
		case "a.crt", "a.key":
			stays = tc.name == "too long" || set.Pair("a") == old.Pair("a")
		case "ca.ca":
			stays = set.Roots("ca") != nil
		case "s.tickets":
			stays = len(set.ticketKeys) == 1
		}
		if !stays {
			t.Errorf("%s: the earlier entry did not stay in the set", tc.name)
		}
	}
	// With a file truncated at each byte, either the earlier pair stays or the new pair is complete.
	for _, file := range []int{0, 1} {
		for n := range good[file].Data {
			files := []File{{"a.crt", cert}, {"a.key", key}}
			files[file].Data = files[file].Data[:n]
			set, fileErrs := Update(old, files, "", time.Now())
			p := set.Pair("a")
			if p == nil || len(fileErrs) == 0 && len(p.Certificate.Certificate) == 0 {
				t.Fatalf("%s truncated to %d bytes: the set has no complete pair; errors: %v", good[file].Name, n, fileErrs)
			}
			if len(fileErrs) > 0 && p != old.Pair("a") {
				t.Fatalf("%s truncated to %d bytes: a new pair is used in spite of errors %v", good[file].Name, n, fileErrs)
			}
		}
	}
}

// Guards against file contents for which Update panics or returns a pair without a parsed certificate.
func FuzzUpdate(f *testing.F) {
	a, _ := keymaker.New("test")
	cert, key, _ := a.Issue(time.Now(), time.Now().Add(time.Hour), "a.test")
	f.Add(cert, key, a.PEM, []byte(strings.Repeat("0", 64)+"\n"))
	f.Fuzz(func(t *testing.T, cert, key, roots, tickets []byte) {
		files := []File{{"a.crt", cert}, {"a.key", key}, {"r.ca", roots}, {"t.tickets", tickets}}
		set, _ := Update(Empty(), files, "", time.Now())
		if p := set.ForServerName("a.test"); p != nil && p.Certificate.Leaf == nil {
			t.Error("Update returned a pair without a parsed certificate")
		}
	})
}
