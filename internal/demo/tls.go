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
	// tlsServerName is the server name in the certificates of the demo.
	tlsServerName = "demo.test"
	// rotationInterval is the time between two replacements of the key.
	rotationInterval = 250 * time.Millisecond
	// certificateMargin is the time for which a certificate is valid before and after its creation.
	certificateMargin = time.Hour
)

// keyRotation repeatedly replaces the TLS certificate and key of the listener of the demo.
type keyRotation struct {
	folder       string
	authority    *keymaker.Authority
	store        *tlskeys.Store
	http2Answers atomic.Int64 // number of answers over HTTP/2
}

func newKeyRotation(folder string, log *slog.Logger) (*keyRotation, error) {
	r := &keyRotation{folder: filepath.Join(folder, "keys")}
	if err := os.Mkdir(r.folder, 0o700); err != nil {
		return nil, err
	}
	var err error
	if r.authority, err = keymaker.New("certificate authority of the demo"); err != nil {
		return nil, err
	}
	if err := r.authority.Write(r.folder, "demo", tlsServerName); err != nil {
		return nil, err
	}
	r.store, err = tlskeys.Open(r.folder, "", log)
	return r, err
}

// run writes a new certificate and key every rotationInterval until ctx ends.
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

// replace writes a new certificate and then its key. Between the two writes, and after an error, the store continues to use
// the previous pair.
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

// clientConfig returns the TLS configuration of the clients of the demo.
func (r *keyRotation) clientConfig() *tls.Config {
	return &tls.Config{RootCAs: r.authority.Pool(), ServerName: tlsServerName}
}
