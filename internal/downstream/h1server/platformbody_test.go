package h1server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"yokestall/internal/connlimit"
	"yokestall/internal/upstream/h1client"
)

// Bodies reserve no more than Options.BodyMemory together, except for the least that each needs, and release what they
// reserved.
func TestBodyMemoryLimit(t *testing.T) {
	const part = 4 << 20
	f := New(nil, Options{Strict: true, BodyMemory: part, ConnectionLimits: connlimit.Limits{Active: 1, New: 1}})
	var buffered []*h1client.Request
	for i := range 200 {
		length := int64(-1)
		if i%3 > 0 {
			length = int64(i%3) * 3 << 20
		}
		r := httptest.NewRequest(http.MethodPost, "/pay", http.NoBody)
		r.ContentLength, r.Body = length, io.NopCloser(http.NoBody)
		to := &h1client.Request{}
		if err := f.readPlatformBody(r, http.NewResponseController(httptest.NewRecorder()), to); err != nil {
			t.Fatal(err)
		}
		buffered = append(buffered, to)
		most := int64(part + len(buffered)*minBodyBuffer)
		if f.bufferedBytes.Load() > most || to.ReservedBytes < minBodyBuffer {
			t.Fatalf("%d bodies have %d bytes, %d at most; the last one %d",
				len(buffered), f.bufferedBytes.Load(), most, to.ReservedBytes)
		}
	}
	for _, to := range buffered {
		f.releaseBuffer(to)
	}
	if left := f.bufferedBytes.Load(); left != 0 {
		t.Errorf("%d bytes are not given back", left)
	}
}
