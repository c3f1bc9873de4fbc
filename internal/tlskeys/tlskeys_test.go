package tlskeys

import (
	"testing"
	"time"

	"yokestall/internal/fake/keymaker"
	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// newAuthority returns a new certificate authority.
func newAuthority(t testing.TB) *keymaker.Authority {
	t.Helper()
	a, err := keymaker.New("test")
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// issue returns a certificate for names and its private key, both in PEM. from and until are the bounds of its validity,
// relative to the current time.
func issue(t testing.TB, a *keymaker.Authority, from, until time.Duration, names ...string) (cert, key []byte) {
	t.Helper()
	cert, key, err := a.Issue(time.Now().Add(from), time.Now().Add(until), names...)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}
