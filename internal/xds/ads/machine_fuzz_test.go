package ads

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/anypb"
)

// FuzzMachine plays scripts of a control plane that may send any bytes. It checks that each usable response is answered
// once, that other responses change nothing, and that the limits hold.
func FuzzMachine(f *testing.F) {
	f.Add(true, []byte("sa;o;r1a=1;r2a=bad,b=2;c;o;t"))
	f.Add(false, []byte("sab;o;r1a=1;r1a=1;xa;t"))
	f.Fuzz(func(t *testing.T, delta bool, script []byte) {
		o := Options{Decode: decode}
		if delta {
			o.Variant = Incremental
		}
		o.Wildcard[Cluster] = true
		m := New(o)
		now := time.Duration(0)
		for _, step := range strings.Split(string(script), ";") {
			now += time.Second
			if step == "" {
				continue
			}
			playStep(t, m, now, step)
			for kind := range TypeCount {
				if _, versions := m.Versions(kind); len(versions) > MaxResources {
					t.Fatalf("got %d resources of one type, want at most MaxResources", len(versions))
				}
			}
		}
	})
}

// playStep plays a step of a script. The first byte of the step selects the event, or the type of a received response.
func playStep(t *testing.T, m *Machine, now time.Duration, step string) {
	rest := step[1:]
	switch step[0] {
	case 'o':
		m.StreamOpened(now, "p")
	case 'c':
		m.StreamClosed()
	case 't':
		m.Tick(now)
	case 's':
		m.Subscribe(now, Endpoint, strings.Split(rest, ","))
	default:
		receiveAnything(t, m, step)
	}
}

// receiveAnything has the machine receive a response that is built from the bytes of a step.
func receiveAnything(t *testing.T, m *Machine, step string) {
	kind, rest := Type(int(step[0])%int(TypeCount)), step[1:]
	r := &Response{
		URL:     kind.URL(),
		Nonce:   rest[:min(1, len(rest))],
		Version: step,
		Removed: strings.Split(rest, "."),
	}
	for _, part := range strings.Split(rest, ",") {
		r.Resources = append(r.Resources, Resource{
			Name: part[:min(1, len(part))],
			Body: &anypb.Any{TypeUrl: kind.URL(), Value: []byte(part)},
		})
	}
	u, answers, err := m.Receive(r)
	if err != nil && (len(answers) > 0 || !u.Empty()) {
		t.Fatal("a response that was not usable gave an answer or an update")
	}
	if err == nil && (len(answers) != 1 || answers[0].Nonce != r.Nonce || len(answers[0].ErrorDetail) > maxErrorDetailBytes) {
		t.Fatalf("got answers %+v, want one to the response's nonce, with a bounded error detail", answers)
	}
}
