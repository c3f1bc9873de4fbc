package config

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// checksumFiles returns an old and a new version of each kind of file. All parts that end with a line of the new program's file,
// and all of the others' closing entries, are valid without a checksum.
func checksumFiles() map[string][2]string {
	program := func(routes int) string {
		text := "[listen]\naddress = \"127.0.0.1:0\"\n[files]\nclusters = \"c\"\n[[class]]\nname = \"a\"\neffect = \"safe\"\ndeadline = \"1s\"\n[[host]]\n"
		for i := range routes {
			text += fmt.Sprintf("[[host.route]]\npath = \"/%d\"\nclass = \"a\"\ncluster = \"c%d\"\n", i, routes)
		}
		return text
	}
	list := func(port int) string {
		return fmt.Sprintf("[cluster]\n[[endpoint]]\nid = \"a\"\naddress = \"127.0.0.1:%d\"\n[[endpoint]]\nid = \"b\"\naddress = \"127.0.0.2:%d\"\n"+
			"[end]\nendpoints = 2\n", port, port)
	}
	tenants := func(quota int) string {
		return fmt.Sprintf("[[tenant]]\nname = \"a\"\nquota_per_s = %d\n[[tenant]]\nname = \"b\"\nquota_per_s = %d\n[end]\ntenants = 2\n", quota, quota)
	}
	return map[string][2]string{
		"program": {program(4), program(3)}, "cluster": {list(1), list(2)}, "tenants": {tenants(10), tenants(20)},
	}
}

// parseAs parses a text as one of checksumFiles.
func parseAs(kind string, text []byte) (err error) {
	switch kind {
	case "program":
		_, err = ParseProgram("x", text)
	case "cluster":
		_, err = ParseCluster(File{"x", text})
	case "tenants":
		_, err = ParseTenants(File{"x", text})
	}
	return err
}

// Of a file with a checksum no part is taken for a version, at whatever byte its writer stops: cut off, or written over the former
// version, which may be longer. Guards against parts that are taken as versions (review/8).
func TestNoPartHasItsChecksum(t *testing.T) {
	for kind, versions := range checksumFiles() {
		t.Run(kind, func(t *testing.T) {
			former, next := AddChecksum([]byte(versions[0])), AddChecksum([]byte(versions[1]))
			for _, text := range [][]byte{former, next, AddChecksum(next), []byte(versions[0]), []byte(versions[1])} {
				if err := parseAs(kind, text); err != nil {
					t.Fatalf("a whole file is rejected: %v\n%s", err, text)
				}
			}
			for n := range next {
				if parseAs(kind, next[:n]) == nil {
					t.Errorf("the first %d of %d bytes are accepted", n, len(next))
				}
				over := append(bytes.Clone(next[:n]), former[min(n, len(former)):]...)
				whole := bytes.Equal(over, former) || bytes.Equal(over, next)
				if parseAs(kind, over) == nil && !whole {
					t.Errorf("the first %d of %d bytes, written over the former version, are accepted", n, len(next))
				}
			}
		})
	}
}

// A checksum line that is incomplete or has another form does not make a file one without a checksum.
func TestDamagedChecksumLines(t *testing.T) {
	text := string(AddChecksum([]byte(checksumFiles()["cluster"][0])))
	for name, damaged := range map[string]string{
		"another digit":   text[:len(checksumPrefix)] + "x" + text[len(checksumPrefix)+1:],
		"a digit less":    text[:len(checksumPrefix)] + text[len(checksumPrefix)+1:],
		"no sum":          checksumMark + text[len(checksumPrefix)+64:],
		"CR LF":           strings.Replace(text, "\n", "\r\n", 1),
		"another content": text + "\n",
	} {
		err := VerifyChecksum("x", []byte(damaged))
		if err == nil || !strings.HasPrefix(err.Error(), "x:1: sha256: is not whole") {
			t.Errorf("%s: got error %v, want that of a checksum", name, err)
		}
	}
	if err := VerifyChecksum("x", nil); err != nil {
		t.Errorf("an empty text: %v; want no error", err)
	}
}
