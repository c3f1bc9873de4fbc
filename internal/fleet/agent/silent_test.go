package agent

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// relay carries connections to an address until it falls silent: then what comes is dropped and nothing is
// closed, as behind a link that is cut.
type relay struct {
	address  string
	dropping atomic.Bool
}

// newRelay starts a relay to an address.
func newRelay(t testing.TB, to string) *relay {
	s := &relay{}
	s.address = testutil.Accept(t, func(client net.Conn) {
		server, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer server.Close()
		go s.forward(client, server)
		s.forward(server, client)
	})
	return s
}

func (s *relay) forward(to io.Writer, from io.Reader) {
	for buffer := make([]byte, 32<<10); ; {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if !s.dropping.Load() {
			to.Write(buffer[:n])
		}
	}
}

// Guards against a publish that waits for a voter which doesn't answer: a quorum that has the content is enough.
func TestSilentVoterHoldsNoPublishUp(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 3, 0)
	relay := newRelay(t, f.voters[2].Address)
	voters := []VoterAddress{f.voters[0], f.voters[1], {f.voters[2].Name, relay.address}}
	f.client.Close()
	var err error
	if f.client, err = NewClient("f", voters, nil); err != nil {
		t.Fatal(err)
	}
	first := f.publish("first", 0, versionWithEffect("safe")) // the connections are there now
	f.waitForOutcome(first.Number)
	relay.dropping.Store(true)
	started := time.Now()
	second := f.publish("second", first.Number, versionWithEffect("unsafe"))
	if took := time.Since(started); second.Number == 0 || took >= publishTimeout {
		t.Fatalf("version %d after %v: %+v", second.Number, took, second)
	}
	f.waitForOutcome(second.Number)
}
