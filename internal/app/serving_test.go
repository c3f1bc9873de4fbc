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

// newApp returns an App that is closed at the end of the test.
func newApp(t testing.TB, first *files.Configuration, o Options) *App {
	t.Helper()
	a, err := New(first, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// openListeners opens listeners of an App. They are closed at the end of the test, before the App.
func openListeners(t testing.TB, a *App, list ...config.Listener) *Listeners {
	t.Helper()
	listeners := a.NewListeners()
	t.Cleanup(listeners.Close)
	if err := listeners.Apply(list); err != nil {
		t.Fatal(err)
	}
	return listeners
}

// testApp is an App that serves on a listener, and a client of that listener.
type testApp struct {
	t       testing.TB
	app     *App
	url     string
	client  *http.Client
	stopXDS func() // stops the xDS client; nil: there is none
}

// serve starts a testApp with a first configuration version. It serves until the end of the test.
func serve(t testing.TB, first *files.Configuration) *testApp {
	t.Helper()
	return serveWith(t, first, Options{Seed: 1, Log: testutil.Log(t)})
}

// serveWith is like serve, with options of the App.
func serveWith(t testing.TB, first *files.Configuration, o Options) *testApp {
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
	return &testApp{
		t:      t,
		app:    a,
		url:    "http://" + l.Addr().String(),
		client: &http.Client{Transport: transport},
	}
}

// get sends a request with this request id, or without one if id is empty, and returns the answer. The method is POST for
// paths below /pay/ and GET for others.
func (s *testApp) get(path, id string) (status int, header http.Header, body string) {
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
		s.t.Errorf("incomplete answer: %v", err)
	}
	return resp.StatusCode, resp.Header, string(text)
}

// waitForStatus sends requests for a path until one is answered with this status.
func (s *testApp) waitForStatus(path string, status int) {
	s.t.Helper()
	testutil.Until(s.t, fmt.Sprintf("%s to be answered by %d", path, status), func() bool {
		got, _, _ := s.get(path, "")
		return got == status
	})
}
