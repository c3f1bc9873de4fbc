package ads

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/anypb"
)

// FuzzMachine plays scripts of a control plane that may send anything. Whatever it sends, each usable response is
// answered once, the others change nothing, and the limits hold.
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
					t.Fatalf("%d resources", len(versions))
				}
			}
		}
	})
}

// playStep plays a step of a script: its first byte says what happens, or of which type a response is.
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

// receiveAnything has the machine receive a response that is made of a step's bytes.
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
	u, owed, err := m.Receive(r)
	if err != nil && (len(owed) > 0 || !u.Empty()) {
		t.Fatal("an ignored response changes something")
	}
	if err == nil && (len(owed) != 1 || owed[0].Nonce != r.Nonce || len(owed[0].ErrorDetail) > maxErrorDetailBytes) {
		t.Fatalf("owed %+v", owed)
	}
}
