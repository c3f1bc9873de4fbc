package tlskeys

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"yokestall/internal/fake/keymaker"
)

// A faulty entry is reported by its file and its cause; the earlier one stays.
func TestFaultyEntries(t *testing.T) {
	a := newAuthority(t)
	cert, key := issue(t, a, -time.Hour, time.Hour, "a.test")
	good := []File{
		{"a.crt", cert}, {"a.key", key}, {"ca.ca", a.PEM}, {"s.tickets", []byte(strings.Repeat("ab", 32) + "\n")},
	}
	old, faults := Update(Empty(), good, "", time.Now())
	if len(faults) > 0 {
		t.Fatal(faults)
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
		{"no key", "a.crt", []File{{"a.crt", cert}}, "no key beside it"},
		{"no certificate", "a.key", []File{{"a.key", key}}, "no certificate beside it"},
		{"another's key", "a.crt", []File{{"a.crt", cert}, {"a.key", otherKey}}, "private key does not match"},
		{"another's certificate", "a.crt", []File{{"a.crt", otherCert}, {"a.key", key}}, "private key does not match"},
		{"expired", "a.crt", []File{{"a.crt", lateCert}, {"a.key", lateKey}}, "ended at"},
		{"not yet", "a.crt", []File{{"a.crt", soonCert}, {"a.key", soonKey}}, "begins at"},
		{"another chain", "a.crt", []File{{"a.crt", wrongChain}, {"a.key", key}}, "out of order"},
		{"empty", "a.crt", []File{{"a.crt", nil}, {"a.key", key}}, "has no certificate"},
		{
			"a key in it", "a.crt", []File{{"a.crt", slices.Concat(key, cert)}, {"a.key", key}},
			`block of type "PRIVATE KEY"`,
		},
		{"too long", "a.crt", []File{{"a.crt", make([]byte, MaxFileBytes+1)}, {"a.key", key}}, "at most"},
		{"roots cut", "ca.ca", []File{{"ca.ca", a.PEM[:len(a.PEM)/2]}}, "not whole"},
		{"tickets cut", "s.tickets", []File{{"s.tickets", []byte("abab")}}, "no end"},
		{"tickets malformed", "s.tickets", []File{{"s.tickets", []byte("xy\n")}}, "hexadecimal"},
	} {
		set, faults := Update(old, tc.files, "", time.Now())
		first := ""
		if len(faults) > 0 {
			first = faults[0].Error()
		}
		if !strings.HasPrefix(first, tc.file+": ") || !strings.Contains(first, tc.want) {
			t.Errorf("%s: %v", tc.name, faults)
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
			t.Errorf("%s: the earlier entry is gone", tc.name)
		}
	}
	// Cut at each byte: the earlier pair stays, or the new one is complete.
	for _, file := range []int{0, 1} {
		for n := range good[file].Data {
			files := []File{{"a.crt", cert}, {"a.key", key}}
			files[file].Data = files[file].Data[:n]
			set, faults := Update(old, files, "", time.Now())
			p := set.Pair("a")
			if p == nil || len(faults) == 0 && len(p.Certificate.Certificate) == 0 {
				t.Fatalf("%s cut at %d: %v", good[file].Name, n, faults)
			}
			if len(faults) > 0 && p != old.Pair("a") {
				t.Fatalf("%s cut at %d: used with %v", good[file].Name, n, faults)
			}
		}
	}
}

// FuzzUpdate: whatever the files contain, the result is a usable set.
func FuzzUpdate(f *testing.F) {
	a, _ := keymaker.New("test")
	cert, key, _ := a.Issue(time.Now(), time.Now().Add(time.Hour), "a.test")
	f.Add(cert, key, a.PEM, []byte(strings.Repeat("0", 64)+"\n"))
	f.Fuzz(func(t *testing.T, cert, key, roots, tickets []byte) {
		files := []File{{"a.crt", cert}, {"a.key", key}, {"r.ca", roots}, {"t.tickets", tickets}}
		set, _ := Update(Empty(), files, "", time.Now())
		if p := set.ForServerName("a.test"); p != nil && p.Certificate.Leaf == nil {
			t.Error("a pair without a certificate")
		}
	})
}
