package h1server

import (
	"net/http"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/testutil"
	"yokestall/internal/upstream/h1client"
)

// okAnswer is an answer with status 200.
func okAnswer() engine.Answer {
	return engine.Answer{Verdict: engine.Served, Value: &h1client.Answer{Status: http.StatusOK, Body: []byte("done")}}
}

// Guards against a request that the end of a listener cuts off: a version that came while the listener ends may give
// requests more time than the listener has left. Requests with less time are served meanwhile.
func TestDeadlinesAfterTheEndAreRejected(t *testing.T) {
	const left, margin = time.Hour, time.Minute
	deadline := left
	router := routerFunc(func(*http.Request) (ingress.Destination, error) {
		return ingress.Destination{Cluster: clusterFunc(okAnswer), Deadline: deadline, MaxAttempts: 1}, nil
	})
	server := New(router, Options{Clock: engine.NewClock(), ConnectionLimits: fewConnections, Log: testutil.Log(t)})
	addr := serve(t, server)
	server.RejectDeadlinesAfter(server.options.Clock.Now() + left)
	for _, c := range []struct {
		deadline time.Duration
		want     int
	}{
		{left - margin, http.StatusOK},
		{left + margin, http.StatusServiceUnavailable},
	} {
		deadline = c.deadline
		resp, err := http.Get("http://" + addr + "/")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.want {
			t.Errorf("deadline in %v, end in %v: got status %d, want %d", c.deadline, left, resp.StatusCode, c.want)
		}
	}
}
