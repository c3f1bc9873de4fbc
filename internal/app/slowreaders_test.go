package app

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/testutil"
)

const (
	// slowReadTimeout is the time of the requests of TestSlowlyReadUploadsOverAllProtocols.
	slowReadTimeout = time.Second
	// slowReadSlack is how much later than its time a request may get its final answer.
	slowReadSlack = 500 * time.Millisecond
)

// slowRead is an upload that the client writes at once and the server reads at a rate.
type slowRead struct {
	size   int // of the body in bytes
	rate   int // bytes per second
	stated bool
}

// drawSlowRead draws an upload of up to 4 MB.
func drawSlowRead(random *rand.Rand) slowRead {
	return slowRead{
		size: 10<<10 + random.IntN(4<<20), rate: 64 << 10 << random.IntN(9), stated: random.IntN(2) == 0,
	}
}

// sound reports whether the server reads the body in time. Small buffers hold a reader back by as long as it takes.
func (s slowRead) sound() bool {
	const margin = 300 * time.Millisecond
	return 2*time.Duration(s.size)*time.Second/time.Duration(s.rate)+margin <= slowReadTimeout
}

// openBody reads a request's body until the request is cancelled: a server over HTTP/2 has buffered more by then.
type openBody struct{ request *http.Request }

// Read implements io.Reader.
func (b openBody) Read(p []byte) (int, error) {
	if err := b.request.Context().Err(); err != nil {
		return 0, err
	}
	return b.request.Body.Read(p)
}

// readSlowly reads a request's body at the rate in its query and answers with the number of bytes.
func readSlowly(w http.ResponseWriter, r *http.Request) {
	rate, _ := strconv.Atoi(r.URL.Query().Get("rate"))
	if n, err := io.Copy(io.Discard, &testutil.SlowReader{Reader: openBody{r}, Rate: rate}); err == nil {
		fmt.Fprint(w, n)
	}
}

// Guards against a request that gets its final answer late, or none, because its server reads it slowly, for each pair of protocols
// of clients and servers, with hedged requests allowed and not.
func TestSlowlyReadUploadsOverAllProtocols(t *testing.T) {
	keys, authority := matrixKeys(t)
	for i, front := range webpeer.AllProtocols() {
		for j, back := range webpeer.AllProtocols() {
			hedging := (i+j)%2 == 0
			t.Run(fmt.Sprintf("%v/%v, hedging %v", front, back, hedging), func(t *testing.T) {
				t.Parallel()
				program := strings.Replace(matrixProgram, "attempts = 3", fmt.Sprintf("attempts = 3\nsecond_copies = %v", hedging), 1)
				var addrs []string
				for range 3 {
					addrs = append(addrs, startHandler(t, back, keys, readSlowly))
				}
				c := newCellWithProgram(t, program, front, back, keys, authority, config.Listener{HTTP2: 128}, addrs...)
				random := rand.New(rand.NewPCG(4, uint64(4*i+j)))
				for range 6 { // one after the other: over HTTP/2 a slow reader holds the window of the connection
					c.checkSlowRead(t, drawSlowRead(random))
				}
			})
		}
	}
}

// checkSlowRead sends an upload and checks its answer.
func (c *cell) checkSlowRead(t *testing.T, s slowRead) {
	t.Helper()
	length := int64(-1)
	if s.stated {
		length = int64(s.size)
	}
	upload := bytes.NewReader(testutil.Bytes(s.size))
	begin := time.Now()
	resp, body, err := c.exchange("POST", fmt.Sprintf("/pay/x?rate=%d", s.rate), "", upload, length,
		"X-Timeout-Ms", fmt.Sprint(slowReadTimeout.Milliseconds()))
	took := time.Since(begin)
	switch {
	case err != nil:
		t.Errorf("%+v: no whole answer after %v: %v", s, took, err)
	case took > slowReadTimeout+slowReadSlack:
		t.Errorf("%+v: status %d after %v, want a final answer within %v", s, resp.StatusCode, took, slowReadTimeout)
	case resp.StatusCode == http.StatusOK && string(body) != fmt.Sprint(s.size):
		t.Errorf("%+v: the server read %s bytes", s, body)
	case s.sound() && resp.StatusCode != http.StatusOK:
		t.Errorf("%+v: status %d after %v, want 200", s, resp.StatusCode, took)
	}
}
