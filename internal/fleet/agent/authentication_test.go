package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/fake/keymaker"
	"yokestall/internal/testutil"
	"yokestall/internal/tlskeys"
)

// newKeys returns a key store with a new CA for a fleet, and a certificate and key of a node that this CA issued.
func newKeys(t *testing.T) *tlskeys.Store {
	t.Helper()
	dir := t.TempDir()
	ca, err := keymaker.New("fleet")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "fleet.ca"), ca.PEM, 0o600); err != nil {
		t.Fatal(err)
	}
	cert, key, err := ca.Issue(time.Now().Add(-time.Hour), time.Now().Add(time.Hour), "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(os.WriteFile(filepath.Join(dir, "node.crt"), cert, 0o600),
		os.WriteFile(filepath.Join(dir, "node.key"), key, 0o600)); err != nil {
		t.Fatal(err)
	}
	keys, err := tlskeys.Open(dir, "node", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// A client is rejected if it names another fleet, or has no certificate that this fleet's CA issued.
func TestStrangers(t *testing.T) {
	ours, theirs := newKeys(t), newKeys(t)
	withKey := tlskeys.ServerAuth{Roots: "fleet", Certificate: "node"}
	f := newTestFleet(t, 1, 0, ours)
	f.publish("one", 0, versionWithEffect("safe"))
	for _, tc := range []struct {
		name, fleet string
		with        *tls.Config
		want        codes.Code
	}{
		{"another fleet", "other", ours.ClientConfig(withKey), codes.PermissionDenied},
		{"no key", "f", ours.ClientConfig(tlskeys.ServerAuth{Roots: "fleet"}), codes.Unavailable},
		{"another key", "f", theirs.ClientConfig(withKey), codes.Unavailable},
		{"clear text", "f", nil, codes.Unavailable},
	} {
		c, err := Dial(f.voters[0], tc.with, tc.fleet)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithTimeout(context.Background(), testutil.WaitTimeout)
		if _, err := c.Status(ctx); status.Code(err) != tc.want {
			t.Errorf("%s: Status returned %v, want code %v", tc.name, err, tc.want)
		}
		stop()
		c.Close()
	}
}
