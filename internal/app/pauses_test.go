package app

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/testutil"
	"yokestall/internal/tlskeys"
)

// pausingAnswer describes an answer that pauses. Its query tells the server.
type pausingAnswer struct {
	size, pauseAt int // length of the body and the offset of the pause, in bytes
	pause         time.Duration
	stated        bool // the head has the length
}

// drawPausingAnswer draws an answer.
func drawPausingAnswer(random *rand.Rand) pausingAnswer {
	size := []int{1, 900, 4 << 10, 64 << 10, 200 << 10}[random.IntN(5)] + random.IntN(2<<10)
	return pausingAnswer{
		size: size, pauseAt: []int{0, 1, size / 2, size - 1}[random.IntN(4)],
		pause: time.Duration(200+random.IntN(600)) * time.Millisecond, stated: random.IntN(2) == 0,
	}
}

// query returns the query of a request for the answer.
func (p pausingAnswer) query() string {
	return fmt.Sprintf("?size=%d&at=%d&ms=%d&stated=%v", p.size, p.pauseAt, p.pause.Milliseconds(), p.stated)
}

// writePausingAnswer answers a request by its query.
func writePausingAnswer(w http.ResponseWriter, r *http.Request) {
	number := func(name string) int {
		n, _ := strconv.Atoi(r.URL.Query().Get(name))
		return n
	}
	io.Copy(io.Discard, r.Body)
	body := testutil.Bytes(number("size"))
	if r.URL.Query().Get("stated") == "true" {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.Write(body[:number("at")])
	http.NewResponseController(w).Flush()
	time.Sleep(time.Duration(number("ms")) * time.Millisecond)
	w.Write(body[number("at"):])
}

// startHandler starts a server that speaks a protocol. It returns its address.
func startHandler(t *testing.T, protocol webpeer.Protocol, keys *tlskeys.Store, handler http.HandlerFunc) (addr string) {
	t.Helper()
	l := testutil.Listen(t)
	server := &http.Server{
		Handler: handler, Protocols: protocol.HTTPProtocols(),
		TLSConfig: keys.ServerConfig(tlskeys.ClientAuth{}, protocol.ALPN()),
	}
	ended := make(chan error, 1)
	go func() {
		if protocol.TLS {
			ended <- server.ServeTLS(l, "", "")
		} else {
			ended <- server.Serve(l)
		}
	}()
	t.Cleanup(func() {
		server.Close()
		<-ended
	})
	return l.Addr().String()
}

// Guards against sound answers that are refused or cut off because they pause, for each pair of protocols of clients and servers,
// safe requests and others.
func TestPausesOverAllProtocols(t *testing.T) {
	const exchanges = 24
	// All exchanges begin at once, so that most wait in the queue. They may wait as long as the machine takes.
	program := strings.ReplaceAll(matrixProgram, `aim = "5s"`, `aim = "20s"`)
	keys, authority := matrixKeys(t)
	for _, front := range webpeer.AllProtocols() {
		for _, back := range webpeer.AllProtocols() {
			t.Run(front.String()+"/"+back.String(), func(t *testing.T) {
				t.Parallel()
				var addrs []string
				for range 3 {
					addrs = append(addrs, startHandler(t, back, keys, writePausingAnswer))
				}
				c := newCellWithProgram(t, program, front, back, keys, authority, config.Listener{HTTP2: 128}, addrs...)
				random := rand.New(rand.NewPCG(1, 0))
				var running sync.WaitGroup
				for i := range exchanges {
					p, method, path := drawPausingAnswer(random), "GET", "/x"
					if i%2 == 1 {
						method, path = "POST", "/pay/x"
					}
					running.Go(func() {
						resp, body, err := c.exchange(method, path+p.query(), "", nil, 0)
						if err != nil || resp.StatusCode != http.StatusOK || !bytes.Equal(body, testutil.Bytes(p.size)) {
							t.Errorf("%s %+v: answer %v, %d bytes, error %v; want 200 and the whole body", method, p, resp, len(body), err)
						}
					})
				}
				running.Wait()
			})
		}
	}
}

// Guards against sound answers that are cut off because they end after the client's time, for each pair of protocols of clients and
// servers, safe requests and others, with hedged requests and without.
func TestLateAnswersOverAllProtocols(t *testing.T) {
	const exchanges, atOnce, timeout = 12, 4, "900"
	keys, authority := matrixKeys(t)
	for i, front := range webpeer.AllProtocols() {
		for j, back := range webpeer.AllProtocols() {
			hedging := (i+j)%2 == 0
			t.Run(fmt.Sprintf("%v/%v, hedging %v", front, back, hedging), func(t *testing.T) {
				t.Parallel()
				program := strings.Replace(matrixProgram, "attempts = 3", fmt.Sprintf("attempts = 3\nsecond_copies = %v", hedging), 1)
				program = strings.ReplaceAll(program, `aim = "5s"`, `aim = "900ms"`) // from which a fresh program guesses the latency
				var addrs []string
				for range 3 {
					addrs = append(addrs, startHandler(t, back, keys, writePausingAnswer))
				}
				c := newCellWithProgram(t, program, front, back, keys, authority, config.Listener{HTTP2: 128}, addrs...)
				random := rand.New(rand.NewPCG(3, 0))
				var running sync.WaitGroup
				places := make(chan struct{}, atOnce)
				for i := range exchanges {
					p, method, path := drawPausingAnswer(random), "GET", "/x"
					p.size, p.pauseAt = p.size+64<<10, 1+random.IntN(p.size)
					p.pause += 600 * time.Millisecond
					if i%2 == 1 {
						method, path = "POST", "/pay/x"
					}
					places <- struct{}{}
					running.Go(func() {
						resp, body, err := c.exchange(method, path+p.query(), "", nil, 0, "X-Timeout-Ms", timeout)
						if err != nil || resp.StatusCode != http.StatusOK || !bytes.Equal(body, testutil.Bytes(p.size)) {
							t.Errorf("%s %+v: answer %v, %d bytes, error %v; want 200 and the whole body", method, p, resp, len(body), err)
						}
						<-places
					})
				}
				running.Wait()
			})
		}
	}
}
