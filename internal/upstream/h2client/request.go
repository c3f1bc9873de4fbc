package h2client

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"yokestall/internal/upstream/h1client"
)

// newRequest returns the HTTP request to an endpoint. remaining is the time remaining, which the header tells the endpoint.
// It returns an error if the target is invalid.
func (p *Pool) newRequest(ctx context.Context, r *h1client.Request, remaining time.Duration) (*http.Request, error) {
	target, err := p.targetURL(r)
	if err != nil {
		return nil, err
	}
	req := &http.Request{
		Method: r.Method, URL: target, Host: r.Host, Header: newHeader(r, remaining), Proto: "HTTP/2.0", ProtoMajor: 2,
	}
	switch {
	case r.Upload != nil:
		req.Body, req.ContentLength = r.Upload.Reader(), r.Length
		if len(r.TrailerNames) > 0 {
			req.Trailer = make(http.Header, len(r.TrailerNames))
			for _, name := range r.TrailerNames {
				req.Trailer[name] = nil
			}
			req.Body = &trailerBody{req.Body, r.Upload, req.Trailer}
		}
	case len(r.Body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body))
	}
	return req.WithContext(ctx), nil
}

// targetURL returns a URL for which the transport sends r.Target as the client sent it.
func (p *Pool) targetURL(r *h1client.Request) (*url.URL, error) {
	scheme := "http"
	if p.options.TLS != nil {
		scheme = "https"
	}
	if !strings.HasPrefix(r.Target, "//") {
		return &url.URL{Scheme: scheme, Host: r.Host, Opaque: r.Target}, nil
	}
	target, err := url.ParseRequestURI(r.Target) // an Opaque that begins with // would be sent as an absolute URL with a host
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = scheme, r.Host
	return target, nil
}

// newHeader returns the header of the request to an endpoint.
func newHeader(r *h1client.Request, remaining time.Duration) http.Header {
	const addedFields = 3
	h := make(http.Header, len(r.Header)+addedFields)
	for name, values := range r.Header {
		if name != "Host" {
			h[name] = values
		}
	}
	remainingMs := strconv.FormatInt(max(1, remaining.Milliseconds()), 10)
	h["X-Timeout-Ms"] = []string{remainingMs}
	if isGRPC(h) {
		h["Grpc-Timeout"] = []string{remainingMs + "m"}
	}
	if r.AcceptsTrailers {
		h["Te"] = []string{"trailers"}
	}
	if len(h["User-Agent"]) == 0 {
		h["User-Agent"] = []string{""} // makes golang.org/x/net's transport send no User-Agent
	}
	return h
}

// trailerBody is the body of a request with trailers. It sets the request's trailers when the body is read to its end.
type trailerBody struct {
	io.ReadCloser
	upload  *h1client.Upload
	trailer http.Header
}

// Read implements io.Reader.
func (t *trailerBody) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err == io.EOF {
		maps.Copy(t.trailer, t.upload.Trailer())
	}
	return n, err
}
