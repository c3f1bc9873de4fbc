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

// A client that floods a connection over HTTP/2 is told so and loses it; one beside it is served.
func TestFloodsEndConnections(t *testing.T) {
	b := testutil.Box(t, "b")
	for _, tc := range []struct {
		name string
		send func(f *http2.Framer, i int) error
	}{
		{"pings", func(f *http2.Framer, _ int) error { return f.WritePing(false, [8]byte{}) }},
		{"settings", func(f *http2.Framer, _ int) error { return f.WriteSettings() }},
		{"empty data", func(f *http2.Framer, i int) error {
			if i == 0 {
				return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, EndHeaders: true,
					BlockFragment: rawpeer.Fields(":method", "POST", ":scheme", "http", ":authority", "a", ":path", "/x")})
			}
			return f.WriteData(1, false, nil)
		}},
		{"continuations", func(f *http2.Framer, i int) error {
			if i == 0 {
				return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: rawpeer.Fields(":method", "GET")})
			}
			return f.WriteContinuation(1, false, nil)
		}},
		{"resets", func(f *http2.Framer, i int) error {
			var err error
			if i%2 == 0 {
				err = f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(i + 1), EndHeaders: true, EndStream: true,
					BlockFragment: rawpeer.Fields(":method", "GET", ":scheme", "http", ":authority", "a", ":path", "/x")})
			} else {
				err = f.WriteRSTStream(uint32(i), http2.ErrCodeCancel)
			}
			return err
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCellTo(t, webpeer.Wire{HTTP2: true}, webpeer.Wire{}, nil, nil, config.Listener{HTTP2: 1000, Resets: 20, Controls: 20, Pieces: 8}, b.Addr())
			nc, f, err := rawpeer.OpenHTTP2(c.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			told := make(chan http2.ErrCode, 1)
			go func() {
				for {
					frame, err := f.ReadFrame()
					if g, ok := frame.(*http2.GoAwayFrame); ok {
						told <- g.ErrCode
						return
					}
					if err != nil && !errors.As(err, new(http2.StreamError)) {
						told <- http2.ErrCodeNo
						return
					}
				}
			}()
			sent := 0
			for ; sent < 2000 && tc.send(f, sent) == nil; sent++ {
				if sent == 50 {
					if resp, _, err := c.exchange("GET", "/x", "", nil, 0); err != nil || resp.StatusCode != 200 {
						t.Errorf("a usual client: %v, %v", resp, err)
					}
				}
			}
			if code := testutil.Wait(t, told, "the end"); code != http2.ErrCodeEnhanceYourCalm && sent == 2000 {
				t.Errorf("after %d frames: %v", sent, code)
			}
		})
	}
}
