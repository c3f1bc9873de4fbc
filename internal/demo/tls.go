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

// rotation keeps replacing the key of the demo's listener.
type rotation struct {
	folder    string
	authority *keymaker.Authority
	store     *tlskeys.Store
	http2     atomic.Int64 // answers that came over HTTP/2
}

const demoName = "demo.test"

func newRotation(folder string, log *slog.Logger) (*rotation, error) {
	r := &rotation{folder: filepath.Join(folder, "keys")}
	if err := os.Mkdir(r.folder, 0o700); err != nil {
		return nil, err
	}
	var err error
	if r.authority, err = keymaker.New("the demo's authority"); err != nil {
		return nil, err
	}
	if err := r.authority.Write(r.folder, "demo", demoName); err != nil {
		return nil, err
	}
	r.store, err = tlskeys.Open(r.folder, "", log)
	return r, err
}

// run writes a new pair four times a second, the certificate some time before its key, until
// ctx ends.
func (r *rotation) run(ctx context.Context) {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		cert, key, err := r.authority.Issue(time.Now().Add(-time.Hour), time.Now().Add(time.Hour), demoName)
		for i, data := range [][]byte{cert, key} {
			if err == nil {
				err = os.WriteFile(filepath.Join(r.folder, []string{"demo.crt", "demo.key"}[i]), data, 0o600)
			}
			r.store.Reload(time.Now()) // between the two the old pair stays
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (r *rotation) client() *tls.Config {
	return &tls.Config{RootCAs: r.authority.Pool(), ServerName: demoName}
}
