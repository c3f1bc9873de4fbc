package app

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/testutil"
)

// newApp returns an app, which is closed at the end of the test.
func newApp(t testing.TB, first *files.Configuration, o Options) *App {
	t.Helper()
	a, err := New(first, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// openListeners opens listeners of an app. They are closed at the end of the test, before the app.
func openListeners(t testing.TB, a *App, list ...config.Listener) *Listeners {
	t.Helper()
	listeners := a.NewListeners()
	t.Cleanup(listeners.Close)
	if err := listeners.Apply(list); err != nil {
		t.Fatal(err)
	}
	return listeners
}

// serving is an app with a listener and a client.
type serving struct {
	t      testing.TB
	app    *App
	url    string
	client *http.Client
	leave  func() // ends the client of a control plane
}

// serve serves by a snapshot until the end of the test.
func serve(t testing.TB, first *files.Configuration) *serving {
	t.Helper()
	return serveWith(t, first, Options{Seed: 1, Log: testutil.Log(t)})
}

// serveWith is serve with options.
func serveWith(t testing.TB, first *files.Configuration, o Options) *serving {
	t.Helper()
	a := newApp(t, first, o)
	l := testutil.Listen(t)
	ctx, stop := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() {
		if err := a.Serve(ctx, l); err != nil {
			t.Error(err)
		}
	})
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		stop()
		run.Wait()
	})
	return &serving{
		t:      t,
		app:    a,
		url:    "http://" + l.Addr().String(),
		client: &http.Client{Transport: transport},
	}
}

// get sends a request with an id, or none, and returns its answer: a POST to paths below /pay/, else a GET.
func (s *serving) get(path, id string) (status int, header http.Header, body string) {
	s.t.Helper()
	method := http.MethodGet
	if strings.HasPrefix(path, "/pay/") {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, s.url+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	if id != "" {
		r.Header.Set("X-Request-ID", id)
	}
	resp, err := s.client.Do(r)
	if err != nil {
		s.t.Errorf("no answer: %v", err)
		return 0, nil, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Errorf("no complete answer: %v", err)
	}
	return resp.StatusCode, resp.Header, string(text)
}

// becomes waits until a path is answered by a status.
func (s *serving) becomes(path string, status int) {
	s.t.Helper()
	testutil.Until(s.t, fmt.Sprintf("%s to be answered by %d", path, status), func() bool {
		got, _, _ := s.get(path, "")
		return got == status
	})
}
