package h1server

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"yokestall/internal/fairshare"
	"yokestall/internal/ingress"
)

// Guards against answers whose last byte waits for their connection's turn: each answer of the server's own states its length.
func TestAnswersBeyondTheShareComeWhole(t *testing.T) {
	const requests = 130 // more than a connection gets at once
	for _, target := range []string{"/health/ready", "/x"} {
		server := New(routerFunc(func(*http.Request) (ingress.Destination, error) {
			return ingress.Destination{}, &ingress.Rejection{Status: http.StatusNotFound, Message: "no route"}
		}), strictOptions(t))
		nc := dialServer(t, serve(t, server))
		request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n\r\n", target)
		io.WriteString(nc, strings.Repeat(request, requests))
		in := bufio.NewReader(nc)
		for i := range requests {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("%s, answer %d: %v", target, i, err)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || resp.ContentLength != int64(len(body)) || len(body) == 0 {
				t.Fatalf("%s, answer %d: length %d, body %q, error %v; want a stated length", target, i, resp.ContentLength, body, err)
			}
		}
		if server.Shares() == (fairshare.Stats{}) {
			t.Errorf("%s: no answer has waited, so that the test shows nothing", target)
		}
	}
}
