package agent

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// relay forwards connections to an address. While dropping is set, it drops all data and closes no connection, like a
// network link that is cut.
type relay struct {
	address  string // address on which the relay accepts connections
	dropping atomic.Bool
}

// newRelay starts a relay to an address.
func newRelay(t testing.TB, to string) *relay {
	r := &relay{}
	r.address = testutil.Accept(t, func(client net.Conn) {
		server, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer server.Close()
		go r.forward(client, server)
		r.forward(server, client)
	})
	return r
}

// forward copies data from one side to the other until the connection breaks, or drops the data.
func (r *relay) forward(to io.Writer, from io.Reader) {
	for buffer := make([]byte, 32<<10); ; {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if !r.dropping.Load() {
			to.Write(buffer[:n])
		}
	}
}

// A publish succeeds in time although one voter does not answer. Guards against a publish that waits for such a voter
// after a quorum has stored the content.
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
	first := f.publish("first", 0, versionWithEffect("safe")) // also establishes the connections
	f.waitForOutcome(first.Number)
	relay.dropping.Store(true)
	started := time.Now()
	second := f.publish("second", first.Number, versionWithEffect("unsafe"))
	if took := time.Since(started); second.Number == 0 || took >= publishTimeout {
		t.Fatalf("publish with a voter that does not answer: version %d after %v, reply %+v; want a version within %v",
			second.Number, took, second, publishTimeout)
	}
	f.waitForOutcome(second.Number)
}
