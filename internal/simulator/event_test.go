package simulator

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"yokestall/policy"
)

func TestDecodesEvents(t *testing.T) {
	raw := frame(8, join(
		hexRecord(t, "0b 0003"),
		hexRecord(t, "03 5d3a91c4 00 0001 91f03b7c55d20a64 406e000000000000 4028000000000000 01"),
		hexRecord(t, "07 000000000000004d"),
		hexRecord(t, "02 02 0000000000000029 00000000 00000002"),
		hexRecord(t, "05 5d3a91c4 00c8 01 0a124a07 1f93 0000 4032800000000000"),
		hexRecord(t, "06 0e6f2b19"),
		hexRecord(t, "04 5d3a91c4 0002 4022800000000000 0a124a07 1f93"),
		hexRecord(t, "0a"),
	), unhex(t, "0a124a07 1f93 0001 0000 0002 01 3f800000 0000000000000000"+
		"0a9011f2 1fbc 0000 0000 0000 02 3fc00000 40b7d40000000000"))
	events, err := decodeAll(raw)
	if !errors.Is(err, io.EOF) || errors.Is(err, ErrFormat) {
		t.Fatalf("got error %v, want io.EOF without ErrFormat", err)
	}
	if events[0].Instance != 3 || events[2].Token != 0x4d || events[7].Code != CodeCloseInstance {
		t.Fatalf("got instance %d, timer token %d and last code %d, want 3, 77 and 10", events[0].Instance, events[2].Token, events[7].Code)
	}
	wantRequest := policy.Request{ID: 0x5d3a91c4, Tenant: 1,
		TimeRemaining: 240 * time.Millisecond, WorkHint: 12 * time.Millisecond}
	if events[1].Request != wantRequest {
		t.Errorf("got request %+v, want %+v", events[1].Request, wantRequest)
	}
	const endpoint = policy.EndpointID(0x0a124a071f93)
	update := events[3]
	want := []policy.Endpoint{
		{ID: endpoint, Zone: 1, Cell: 2, State: policy.Ready, Weight: 1},
		{ID: 0x0a9011f21fbc, State: policy.Draining, Weight: 1.5, StartedAt: 6100 * time.Millisecond},
	}
	if update.Kind != policy.CachedUpdate || len(update.Endpoints) != 2 ||
		update.Endpoints[0] != want[0] || update.Endpoints[1] != want[1] {
		t.Errorf("got endpoint update of kind %d with %+v, want a CachedUpdate with %+v", update.Kind, update.Endpoints, want)
	}
	wantOutcome := policy.Outcome{ID: 0x5d3a91c4, Endpoint: endpoint, Status: policy.OK, RequestDone: true,
		Latency: 18500 * time.Microsecond}
	if events[4].Outcome != wantOutcome {
		t.Errorf("got outcome %+v, want %+v", events[4].Outcome, wantOutcome)
	}
	if events[5].Outcome.ID != 0x0e6f2b19 || events[6].Outcome.Attempt != 2 ||
		events[6].Outcome.Endpoint != endpoint {
		t.Errorf("got %+v for the disconnected client and %+v for the started stream, want request 0x0e6f2b19 and attempt 2", events[5].Outcome, events[6].Outcome)
	}
}

// malformed builds frames for each of which decoding must return one error line that names the batch, without a panic.
var malformed = map[string]func(testing.TB) []byte{
	"truncated header":    func(testing.TB) []byte { return frame(0, nil, nil)[:7] },
	"truncated body":      func(t testing.TB) []byte { return frame(1, hexRecord(t, "0b 0003"), nil)[:40] },
	"huge claimed length": func(testing.TB) []byte { f := frame(0, nil, nil); f[0] = 0xff; return f },
	"long claimed length": func(testing.TB) []byte { f := frame(0, nil, nil); f[0] = 0x30; return f },
	"more records than bytes": func(t testing.TB) []byte {
		return frame(9, hexRecord(t, "0b 0003"), nil)
	},
	"unknown event": func(t testing.TB) []byte { return frame(1, hexRecord(t, "63"), nil) },
	"settings out of the tail": func(t testing.TB) []byte {
		return frame(1, hexRecord(t, "01 0000000000000001 00000000 00000009"), []byte("{}"))
	},
	"entries out of the tail": func(t testing.TB) []byte {
		return frame(1, hexRecord(t, "02 01 0000000000000001 fffffff0 ffffffff"), nil)
	},
	"unknown list kind": func(t testing.TB) []byte { return frame(1, hexRecord(t, "02 09"), nil) },
	"unknown status":    func(t testing.TB) []byte { return frame(1, hexRecord(t, "05 5d3a91c4 0001"), nil) },
	"latency not a number": func(t testing.TB) []byte {
		return frame(1, hexRecord(t, "05 5d3a91c4 00c8 01 0a124a07 1f93 0000 7ff8000000000001"), nil)
	},
	"time left not finite": func(t testing.TB) []byte {
		return frame(1, hexRecord(t, "03 5d3a91c4 00 0000 91f03b7c55d20a64 7ff0000000000000"), nil)
	},
	"message out of the tail": func(t testing.TB) []byte {
		return frame(1, hexRecord(t, "09 00000002 00000000 00000004"), nil)
	},
	"clock not a number": func(testing.TB) []byte {
		f := frame(0, nil, nil)
		f[4], f[5] = 0x7f, 0xf8
		return f
	},
	"unknown server state": func(t testing.TB) []byte {
		return frame(1, hexRecord(t, "02 01 0000000000000001 00000000 00000001"),
			unhex(t, "0a124a07 1f93 0000 0000 0000 07 3f800000 0000000000000000"))
	},
	"weight not a number": func(t testing.TB) []byte {
		return frame(1, hexRecord(t, "02 01 0000000000000001 00000000 00000001"),
			unhex(t, "0a124a07 1f93 0000 0000 0000 01 7fc00000 0000000000000000"))
	},
}

func TestMalformedFramesGiveAPlainError(t *testing.T) {
	for name, build := range malformed {
		t.Run(name, func(t *testing.T) {
			_, err := decodeAll(build(t))
			if !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "batch") || strings.Contains(err.Error(), "\n") {
				t.Fatalf("got error %v, want one line that wraps ErrFormat and names the batch", err)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, build := range malformed {
		f.Add(build(f))
	}
	f.Add(frame(2, join(hexRecord(f, "0b 0003"), hexRecord(f, "07 000000000000004d")), nil))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if _, err := decodeAll(raw); err == nil {
			t.Fatal("decoding a finite input returned no error, want io.EOF or a format error")
		}
	})
}
