package app

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"yokestall/internal/fake/webpeer"
)

// addBodySizes adds behaviours of bodies of several sizes, with a known and an unknown length.
func (l *behaviourList) addBodySizes() {
	add := l.add
	sizes := []int{0, 1, 1000, 64 << 10, 64<<10 + 1, 1 << 20}
	for _, kind := range []string{"known", "unknown"} {
		for _, n := range sizes {
			add(fmt.Sprintf("answer of %d bytes, %s length", n, kind), "9112 6.3, 9113 8.1", func(c *cell) error {
				resp, text, err := c.exchange("GET", "/x", fmt.Sprintf("%s %d", kind, n), nil, 0)
				if err != nil || resp.StatusCode != 200 || !bytes.Equal(text, webpeer.Pattern(n)) {
					return fmt.Errorf("%d bytes, error %v; want status 200 and %d bytes of the pattern", len(text), err, n)
				}
				return nil
			})
			add(fmt.Sprintf("request of %d bytes, %s length", n, kind), "9112 6.3, 9113 8.1", func(c *cell) error {
				length := int64(n)
				if kind == "unknown" {
					length = -1
				}
				before := c.peer.Completed.Load()
				resp, _, err := c.exchange("POST", "/pay/x", "", io.NopCloser(bytes.NewReader(webpeer.Pattern(n))), length)
				if err != nil || resp.StatusCode != 200 {
					return fmt.Errorf("answer %v, error %v; want status 200", resp, err)
				}
				want := patternSum(n)
				if _, sum := c.peer.Last(); sum != want || c.peer.Completed.Load() != before+1 {
					return fmt.Errorf("the server got a different body, or %d requests instead of 1",
						c.peer.Completed.Load()-before)
				}
				return nil
			})
		}
	}
}

// addRequestLines adds behaviours of statuses, methods and request targets.
func (l *behaviourList) addRequestLines() {
	add := l.add
	for _, status := range []int{200, 201, 204, 206, 301, 304, 400, 401, 404, 409, 418, 500, 503} {
		add(fmt.Sprintf("status %d with its body", status), "9110 15", func(c *cell) error {
			resp, text, err := c.exchange("GET", "/x", fmt.Sprintf("status %d", status), nil, 0)
			want := fmt.Sprintf("status %d", status)
			if status == 204 || status == 304 {
				want = ""
			}
			if err != nil || resp.StatusCode != status || string(text) != want {
				return fmt.Errorf("answer %v, body %q, error %v; want status %d and body %q", resp, text, err, status, want)
			}
			if resp.Header.Get("Location") != "/elsewhere" {
				return fmt.Errorf("answer %v, body %q, error %v; want Location: /elsewhere", resp, text, err)
			}
			return nil
		})
	}
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "BREW"} {
		add("method "+method, "9110 9", func(c *cell) error {
			resp, text, err := c.exchange(method, "/x", "", nil, 0)
			if err != nil || resp.StatusCode != 200 {
				return fmt.Errorf("answer %v, error %v; want status 200", resp, err)
			}
			if seen, _ := c.peer.Last(); seen.Method != method || method == "HEAD" && len(text) > 0 {
				return fmt.Errorf("the server saw method %s and the client a body of %d bytes", seen.Method, len(text))
			}
			return nil
		})
	}
	long := "/" + strings.Repeat("p", 4000)
	for _, target := range []string{"/a/../b", "/a%2Fb", "//two", "/x?q=1&q=%20", "/x?", "/;p=1", long} {
		add("target "+target[:min(12, len(target))], "9112 3.2, 9113 8.3.1", func(c *cell) error {
			r, err := http.NewRequest("GET", c.url, nil)
			if err != nil {
				return err
			}
			r.URL.Opaque = target
			if strings.HasPrefix(target, "//") {
				r.URL.Opaque, r.URL.Path = "", target
			}
			resp, err := c.client.Do(r)
			if err != nil {
				return err
			}
			resp.Body.Close()
			if seen, _ := c.peer.Last(); seen.RequestURI != target {
				return fmt.Errorf("the server saw target %q, want %q", seen.RequestURI, target)
			}
			return nil
		})
	}
}
