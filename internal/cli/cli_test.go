package cli

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokestall/internal/testutil"
)

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := New(&out, io.Discard)
	c.SetArgs(args)
	err := c.ExecuteContext(t.Context())
	return out.String(), err
}

func TestCheck(t *testing.T) {
	example := filepath.Join("..", "..", "deploy", "yokestall.toml")
	if out, err := run(t, "check", example); err != nil || out != "" {
		t.Errorf("the example: %q, %v", out, err)
	}
	bad := filepath.Join(t.TempDir(), "yokestall.toml")
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(bad, []byte(strings.Replace(string(text), "attempts = 3", "attempts = 0", 1)), 0o644); err != nil {
		t.Fatal(err)
	}
	out, err := run(t, "check", example, bad)
	if !errors.Is(err, ErrReported) || !strings.HasPrefix(out, bad+":") || !strings.Contains(out, "attempts: 0 is not from 1 to 16") {
		t.Errorf("%q, %v", out, err)
	}
	for _, name := range []string{"clusters", "endpoints", "routes"} {
		if out, err := run(t, "check", filepath.Join("..", "..", "deploy", "xds", name+".yaml")); err != nil {
			t.Errorf("the example in xDS form: %q, %v", out, err)
		}
	}
	// A cluster file alone is checked as such.
	rooms := filepath.Join("..", "..", "deploy", "clusters", "rooms.toml")
	if out, err := run(t, "check", rooms); err != nil || out != "" {
		t.Errorf("the example of a cluster: %q, %v", out, err)
	}
	if text, err = os.ReadFile(rooms); err != nil {
		t.Fatal(err)
	}
	for from, want := range map[string]string{
		"weight = 2":    "endpoint 2 (app-2): weight: -2 is not from 0 to 1e+06",
		"endpoints = 2": "is not whole",
	} {
		cut := filepath.Join(t.TempDir(), "rooms.toml")
		wrong := strings.Replace(string(text), from, strings.Replace(from, "2", "-2", 1), 1)
		if err := os.WriteFile(cut, []byte(wrong), 0o644); err != nil {
			t.Fatal(err)
		}
		if out, err := run(t, "check", cut); !errors.Is(err, ErrReported) || !strings.HasPrefix(out, cut+":") || !strings.Contains(out, want) {
			t.Errorf("%s: %q, %v", from, out, err)
		}
	}
	if _, err := run(t, "check"); err == nil {
		t.Error("check of nothing gives no error")
	}
	if _, err := run(t, "serve"); err == nil {
		t.Error("serve without a file gives no error")
	}
	if _, err := run(t, "serve", "-c", bad); err == nil || !strings.Contains(err.Error(), "attempts") {
		t.Errorf("serve of a bad file: %v", err)
	}
}

// The example is served as it stands, but for the port.
func TestServe(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"yokestall.toml", "clusters/rooms.toml"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "deploy", name))
		if err != nil {
			t.Fatal(err)
		}
		os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o755)
		text = bytes.Replace(text, []byte("127.0.0.1:8080"), []byte("127.0.0.1:0"), 1)
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
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
			t.Errorf("%v, %v", resp, err)
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
