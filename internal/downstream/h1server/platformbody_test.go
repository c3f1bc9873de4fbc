package h1server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"yokestall/internal/connlimit"
	"yokestall/internal/upstream/h1client"
)

// All bodies together reserve no more than Options.BodyMemory plus minBodyBuffer for each body, and release what they
// reserved.
func TestBodyMemoryLimit(t *testing.T) {
	const bodyMemory = 4 << 20
	server := New(nil, Options{Strict: true, BodyMemory: bodyMemory, ConnectionLimits: connlimit.Limits{Active: 1, New: 1}})
	var buffered []*h1client.Request
	for i := range 200 {
		length := int64(-1)
		if i%3 > 0 {
			length = int64(i%3) * 3 << 20
		}
		r := httptest.NewRequest(http.MethodPost, "/pay", http.NoBody)
		r.ContentLength, r.Body = length, io.NopCloser(http.NoBody)
		out := &h1client.Request{}
		if err := server.readPlatformBody(r, http.NewResponseController(httptest.NewRecorder()), out); err != nil {
			t.Fatal(err)
		}
		buffered = append(buffered, out)
		limit := int64(bodyMemory + len(buffered)*minBodyBuffer)
		if server.bufferedBytes.Load() > limit || out.ReservedBytes < minBodyBuffer {
			t.Fatalf("%d bodies reserve %d bytes, want at most %d; the last one reserves %d bytes, want at least minBodyBuffer",
				len(buffered), server.bufferedBytes.Load(), limit, out.ReservedBytes)
		}
	}
	for _, out := range buffered {
		server.releaseBuffer(out)
	}
	if left := server.bufferedBytes.Load(); left != 0 {
		t.Errorf("%d bytes are still reserved after all bodies were released, want 0", left)
	}
}
