package demo

import (
	"context"
	"crypto/tls"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"yokestall/internal/fake/keymaker"
	"yokestall/internal/tlskeys"
)

const (
	// tlsServerName is the name in the demo's certificates.
	tlsServerName = "demo.test"
	// rotationInterval is between two replacements of the key.
	rotationInterval = 250 * time.Millisecond
	// certificateMargin is how long before and after its making a certificate is valid.
	certificateMargin = time.Hour
)

// keyRotation replaces the key of the demo's listener again and again.
type keyRotation struct {
	folder       string
	authority    *keymaker.Authority
	store        *tlskeys.Store
	http2Answers atomic.Int64 // that came over HTTP/2
}

func newKeyRotation(folder string, log *slog.Logger) (*keyRotation, error) {
	r := &keyRotation{folder: filepath.Join(folder, "keys")}
	if err := os.Mkdir(r.folder, 0o700); err != nil {
		return nil, err
	}
	var err error
	if r.authority, err = keymaker.New("the demo's authority"); err != nil {
		return nil, err
	}
	if err := r.authority.Write(r.folder, "demo", tlsServerName); err != nil {
		return nil, err
	}
	r.store, err = tlskeys.Open(r.folder, "", log)
	return r, err
}

// run writes a new pair every rotationInterval until ctx ends.
func (r *keyRotation) run(ctx context.Context) {
	ticker := time.NewTicker(rotationInterval)
	defer ticker.Stop()
	for {
		r.replace()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// replace writes a new certificate and then its key. Between the two, and after an error, the store has the former pair
// in force.
func (r *keyRotation) replace() {
	now := time.Now()
	cert, key, err := r.authority.Issue(now.Add(-certificateMargin), now.Add(certificateMargin), tlsServerName)
	for _, f := range []tlskeys.File{{Name: "demo.crt", Data: cert}, {Name: "demo.key", Data: key}} {
		if err == nil {
			err = os.WriteFile(filepath.Join(r.folder, f.Name), f.Data, 0o600)
		}
		r.store.Reload(time.Now())
	}
}

// clientConfig returns the configuration of the demo's clients.
func (r *keyRotation) clientConfig() *tls.Config {
	return &tls.Config{RootCAs: r.authority.Pool(), ServerName: tlsServerName}
}
