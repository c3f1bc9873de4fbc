package agent

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// silenceable carries connections to an address until it falls silent: then what comes is dropped and nothing is
// closed, as behind a link that is cut.
type silenceable struct {
	address string
	silent  atomic.Bool
}

// newSilenceable starts a relay to an address.
func newSilenceable(t testing.TB, to string) *silenceable {
	s := &silenceable{}
	s.address = testutil.Accept(t, func(client net.Conn) {
		server, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer server.Close()
		go s.carry(client, server)
		s.carry(server, client)
	})
	return s
}

func (s *silenceable) carry(to io.Writer, from io.Reader) {
	for piece := make([]byte, 32<<10); ; {
		n, err := from.Read(piece)
		if err != nil {
			return
		}
		if !s.silent.Load() {
			to.Write(piece[:n])
		}
	}
}

// Guards against a publish that waits for a voter which doesn't answer: a quorum that has the content is enough.
func TestSilentVoterHoldsNoPublishUp(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3, 0)
	relay := newSilenceable(t, g.voters[2].Address)
	voters := []VoterAddress{g.voters[0], g.voters[1], {g.voters[2].Name, relay.address}}
	g.client.Close()
	var err error
	if g.client, err = NewClient("f", voters, nil); err != nil {
		t.Fatal(err)
	}
	first := g.publish("first", 0, bundle("safe")) // the connections are there now
	g.inForce(first.Number)
	relay.silent.Store(true)
	begun := time.Now()
	second := g.publish("second", first.Number, bundle("unsafe"))
	if took := time.Since(begun); second.Number == 0 || took >= publishTimeout {
		t.Fatalf("version %d after %v: %+v", second.Number, took, second)
	}
	g.inForce(second.Number)
}
