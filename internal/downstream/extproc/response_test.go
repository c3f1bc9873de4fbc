package extproc_test

import (
	"bytes"
	"net/http"
	"testing"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"

	"yokestall/internal/fake/proxy"
	"yokestall/internal/testutil"
)

// A response that exceeds the limit of one message is streamed if the caller's body mode allows it; the stream ends with
// an error if the response fails part way. If the body mode doesn't allow it, the answer is 502.
func TestLongAnswers(t *testing.T) {
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Write(bytes.Repeat([]byte("x"), 3_000_000))
		if r.URL.Path == "/broken" {
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	r := startProcessor(t, []string{b.Addr()})
	for _, tc := range []struct {
		path   string
		mode   filterv3.ProcessingMode_BodySendMode
		status int
		broken bool
	}{
		{"/x", filterv3.ProcessingMode_NONE, 200, false},
		{"/x", filterv3.ProcessingMode_FULL_DUPLEX_STREAMED, 200, false},
		{"/broken", filterv3.ProcessingMode_NONE, 200, true},
		{"/x", filterv3.ProcessingMode_BUFFERED, 502, false},
	} {
		p := &proxy.Proxy{Conn: r.conn, BodyMode: tc.mode}
		out := p.Do(t.Context(), proxy.Request{Method: "GET", Path: tc.path, Timeout: testutil.WaitTimeout})
		p.Close()
		complete := len(out.Body) == 3_000_000
		if out.Status != tc.status || out.Truncated != tc.broken || !tc.broken && tc.status == 200 && !complete {
			t.Errorf("case %+v: got status %d, truncated %v, %d bytes of 3000000, error %v",
				tc, out.Status, out.Truncated, len(out.Body), out.Err)
		}
	}
}
