package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// Every phase must be shown, no rule may be violated, and the demo must end by itself.
func TestDemo(t *testing.T) {
	for _, name := range []string{"files", "xds", "tls", "extproc"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			r, err := Run(t.Context(), Options{
				Out: &out, Log: testutil.Log(t), Endpoints: 4, Clients: 6, Phase: 300 * time.Millisecond,
				XDS: name == "xds", TLS: name == "tls", ExtProc: name == "extproc",
				LatenessTolerance: testutil.WaitTimeout, // tests of the decision engine check deadlines in virtual time
			})
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Violations) > 0 || r.Served == 0 || r.Deliveries == 0 {
				t.Errorf("got result %+v, want no violations and some requests served and delivered\n%s", r, out.String())
			}
			shown := out.String()
			contains := func(text string) bool { return strings.Contains(shown, text) }
			if name == "tls" && (!contains("answers over HTTP/2 and TLS") || contains(" 0 answers over")) {
				t.Errorf("no answers over HTTP/2 and TLS:\n%s", shown)
			}
			if name == "extproc" && (!contains("asked the program about each") ||
				contains(" 0 requests carried") || contains(" 0 picked")) {
				t.Errorf("the external processor was not used both for forwarded and for picked requests:\n%s", shown)
			}
			for _, text := range []string{"box-2 drains", "box-3 dies", "is back", "Rules kept", "demo --keep"} {
				if !contains(text) {
					t.Errorf("output does not contain %q:\n%s", text, shown)
				}
			}
		})
	}
}

func TestInterrupted(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	stop()
	_, err := Run(ctx, Options{
		Out: &bytes.Buffer{}, Log: testutil.Log(t), Endpoints: 3, Clients: 1, Phase: time.Second,
	})
	if err == nil {
		t.Error("got no error from an interrupted demo")
	}
}
