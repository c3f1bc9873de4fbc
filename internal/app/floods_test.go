package app

import (
	"errors"
	"testing"

	"golang.org/x/net/http2"

	"yokestall/internal/config"
	"yokestall/internal/fake/rawpeer"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/testutil"
)

// flood is a way to flood an HTTP/2 connection with frames.
type flood struct {
	name string
	// send sends the frame with index i; the first frame has index 0.
	send func(f *http2.Framer, i int) error
}

// floods returns the floods of TestFloodsEndConnections.
func floods() []flood {
	head := func(stream uint32, method string) http2.HeadersFrameParam {
		fields := rawpeer.Fields(":method", method, ":scheme", "http", ":authority", "a", ":path", "/x")
		return http2.HeadersFrameParam{StreamID: stream, EndHeaders: true, BlockFragment: fields}
	}
	return []flood{
		{name: "pings", send: func(f *http2.Framer, _ int) error {
			return f.WritePing(false, [8]byte{})
		}},
		{name: "settings", send: func(f *http2.Framer, _ int) error {
			return f.WriteSettings()
		}},
		{name: "empty data", send: func(f *http2.Framer, i int) error {
			if i == 0 {
				return f.WriteHeaders(head(1, "POST"))
			}
			return f.WriteData(1, false, nil)
		}},
		{name: "continuations", send: func(f *http2.Framer, i int) error {
			if i == 0 {
				begin := http2.HeadersFrameParam{StreamID: 1, BlockFragment: rawpeer.Fields(":method", "GET")}
				return f.WriteHeaders(begin)
			}
			return f.WriteContinuation(1, false, nil)
		}},
		{name: "resets", send: func(f *http2.Framer, i int) error {
			if i%2 == 0 {
				get := head(uint32(i+1), "GET")
				get.EndStream = true
				return f.WriteHeaders(get)
			}
			return f.WriteRSTStream(uint32(i), http2.ErrCodeCancel)
		}},
	}
}

// A client that floods an HTTP/2 connection gets GOAWAY with ENHANCE_YOUR_CALM or loses the connection without it.
// Another client is served meanwhile.
func TestFloodsEndConnections(t *testing.T) {
	const maxFrames, otherClientAt = 2000, 50
	b := testutil.StartAppServer(t, "b")
	for _, tc := range floods() {
		t.Run(tc.name, func(t *testing.T) {
			listener := config.Listener{HTTP2: 1000, Resets: 20, Controls: 20, Pieces: 8}
			c := newCellWithServers(t, webpeer.Protocol{HTTP2: true}, webpeer.Protocol{}, nil, nil, listener, b.Addr())
			nc, f, err := rawpeer.OpenHTTP2(c.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			goAway := make(chan http2.ErrCode, 1)
			go func() { goAway <- awaitGoAway(f) }()
			sent := 0
			for ; sent < maxFrames && tc.send(f, sent) == nil; sent++ {
				if sent == otherClientAt {
					if resp, _, err := c.exchange("GET", "/x", "", nil, 0); err != nil || resp.StatusCode != 200 {
						t.Errorf("another client: answer %v, error %v; want status 200", resp, err)
					}
				}
			}
			code := testutil.Wait(t, goAway, "the connection to end")
			if code != http2.ErrCodeEnhanceYourCalm && sent == maxFrames {
				t.Errorf("after %d frames: code %v, want ENHANCE_YOUR_CALM", sent, code)
			}
		})
	}
}

// awaitGoAway reads frames until a GOAWAY and returns its code, or http2.ErrCodeNo if the connection ends without one.
func awaitGoAway(f *http2.Framer) http2.ErrCode {
	for {
		frame, err := f.ReadFrame()
		if g, ok := frame.(*http2.GoAwayFrame); ok {
			return g.ErrCode
		}
		if err != nil && !errors.As(err, new(http2.StreamError)) {
			return http2.ErrCodeNo
		}
	}
}
