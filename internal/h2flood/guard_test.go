package h2flood

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/net/http2"
)

// Guards against a flood that is not detected at its limit, against a limit that applies one frame too early, and against a
// client that is taken for a flood although it keeps to the rates. The bytes arrive in pieces of random length.
func TestFloods(t *testing.T) {
	const rate = 10
	limits := Limits{ResetsPerSecond: rate, ControlFramesPerSecond: rate, ContinuationsPerBlock: 4}
	burst := int(BurstWindow.Seconds()) * rate
	for _, tc := range []struct {
		name  string
		allow int  // number of frames that pass at once; -1 means any number
		out   bool // the frames are sent to the client
		frame func(f *http2.Framer, i int)
	}{
		{"resets", burst, false, func(f *http2.Framer, i int) { f.WriteRSTStream(uint32(2*i+1), http2.ErrCodeCancel) }},
		{"resets by the server", burst, true, func(f *http2.Framer, i int) {
			f.WriteRSTStream(uint32(2*i+1), http2.ErrCodeProtocol)
		}},
		{"early answers", -1, true, func(f *http2.Framer, i int) { f.WriteRSTStream(uint32(2*i+1), http2.ErrCodeNo) }},
		{"pings", burst, false, func(f *http2.Framer, _ int) { f.WritePing(false, [8]byte{}) }},
		{"answers to pings", -1, false, func(f *http2.Framer, _ int) { f.WritePing(true, [8]byte{}) }},
		{"settings", burst, false, func(f *http2.Framer, _ int) { f.WriteSettings(http2.Setting{ID: 3, Val: 1}) }},
		{"priorities", burst, false, func(f *http2.Framer, _ int) { f.WritePriority(1, http2.PriorityParam{}) }},
		{"unknown frames", burst, false, func(f *http2.Framer, _ int) { f.WriteRawFrame(0xfe, 0, 0, []byte("x")) }},
		{"empty data", burst, false, func(f *http2.Framer, _ int) { f.WriteData(1, false, nil) }},
		{"updates for nothing", burst, false, func(f *http2.Framer, _ int) { f.WriteWindowUpdate(1, 1) }},
		{"requests", -1, false, func(f *http2.Framer, i int) {
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), BlockFragment: []byte("abc"), EndHeaders: true})
			f.WriteData(uint32(2*i+1), false, bytes.Repeat([]byte("d"), i%5000+1))
			f.WriteData(uint32(2*i+1), true, nil)
		}},
		{"a block in pieces", 4, false, func(f *http2.Framer, i int) {
			if i == 0 {
				f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte("abc")})
			}
			f.WriteContinuation(1, false, nil)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			g := New(limits, 0, false)
			if err := g.Received(0, []byte(http2.ClientPreface)); err != nil {
				t.Fatal(err)
			}
			count := g.Received
			if tc.out {
				count = g.Sent
			}
			send := func(now time.Duration, i int) error {
				var b bytes.Buffer
				f := http2.NewFramer(&b, nil)
				f.AllowIllegalWrites = true
				tc.frame(f, i)
				for b.Len() > 0 {
					if err := count(now, b.Next(1+rng.IntN(20))); err != nil {
						return err
					}
				}
				return nil
			}
			passed := 0
			for ; passed < 3*burst; passed++ {
				if err := send(0, passed); err != nil {
					var flood *Flood
					if !errors.As(err, &flood) {
						t.Fatal(err)
					}
					break
				}
			}
			if want := tc.allow; want >= 0 && passed != want || want < 0 && passed != 3*burst {
				t.Fatalf("got %d frames passed, want %d (-1 means all)", passed, want)
			}
			if tc.name == "a block in pieces" {
				return
			}
			for i := range 20 * rate { // 20 s at the rate of the limit
				if err := send(time.Duration(i+1)*time.Second/rate, i); err != nil {
					t.Fatalf("frame %d at the rate of the limit: got error %v, want none", i, err)
				}
			}
		})
	}
}

// Guards against a client that is taken for a flood although it sends WINDOW_UPDATE frames only for bytes that it got.
func TestWindowUpdatesForSentBytes(t *testing.T) {
	g := New(Limits{ControlFramesPerSecond: 1}, 0, true)
	var b, answer bytes.Buffer
	http2.NewFramer(&b, nil).WriteWindowUpdate(1, 16384)
	http2.NewFramer(&answer, nil).WriteData(1, false, make([]byte, 16384))
	for i := range 10_000 {
		if g.Sent(0, answer.Bytes()) != nil || g.Received(0, b.Bytes()) != nil {
			t.Fatalf("WINDOW_UPDATE frame %d for sent bytes: got an error, want none", i)
		}
	}
}

// Guards against a Guard that finds other frames if the same bytes arrive in pieces of another length.
func FuzzGuard(f *testing.F) {
	f.Add([]byte("\x00\x00\x04\x03\x00\x00\x00\x00\x01\x00\x00\x00\x08"), uint8(1))
	f.Add([]byte("\x00\x00\x02\x03\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x06"), uint8(3))
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		count := func(step int) (floods int, skip, have int) {
			g := New(Limits{ResetsPerSecond: 1, ControlFramesPerSecond: 1, ContinuationsPerBlock: 1}, 0, true)
			for left := text; len(left) > 0; {
				n := min(step, len(left))
				if g.Received(0, left[:n]) != nil {
					return 1, 0, 0
				}
				left = left[n:]
			}
			return 0, g.received.bytesToSkip, g.received.buffered
		}
		a, b, c := count(len(text) + 1)
		if x, y, z := count(int(step) + 1); a != x || b != y || c != z {
			t.Errorf("got floods, bytesToSkip and buffered %d %d %d in one piece, but in pieces of %d bytes: %d %d %d", a, b, c, step+1, x, y, z)
		}
	})
}
