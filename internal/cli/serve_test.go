package cli

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"yokestall/internal/config"
	"yokestall/internal/testutil"
)

// The program serves the example configuration unchanged, except for the port and so the checksum, and reports that it is ready.
func TestServe(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"yokestall.toml", "clusters/rooms.toml"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "deploy", name))
		if err != nil {
			t.Fatal(err)
		}
		os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o755)
		text = bytes.Replace(text, []byte("127.0.0.1:8080"), []byte("127.0.0.1:0"), 1)
		if err := os.WriteFile(filepath.Join(dir, name), config.AddChecksum(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	listening, ended := make(chan net.Addr, 1), make(chan error, 1)
	go func() {
		ended <- Serve(ctx, filepath.Join(dir, "yokestall.toml"), testutil.Log(t), func(a net.Addr) { listening <- a })
	}()
	select {
	case addr := <-listening:
		resp, err := http.Get("http://" + addr.String() + "/health/ready")
		if err != nil || resp.StatusCode != 200 {
			t.Errorf("GET /health/ready: response %v, error %v; want status 200", resp, err)
		} else {
			resp.Body.Close()
		}
		http.DefaultClient.CloseIdleConnections()
	case err := <-ended:
		t.Fatal(err)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
