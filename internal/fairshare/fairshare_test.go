package fairshare

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against connections that take a server from others: of drawn numbers of connections, of costs and of lengths, one
// connection gets no more local answers than its share, and all together no more than theirs. An ordinary connection never waits.
func TestSharesAreKept(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var l Ledger
		connections := 1 + random.IntN(400)
		accounts := make([]Account, connections)
		readyAt, served := make([]time.Duration, connections), make([]int, connections)
		var ordinary Account
		total, duration := 0, time.Duration(1+random.IntN(8))*time.Second
		step := 2 * time.Millisecond
		for now := time.Duration(0); now < duration; now += step {
			for i := range accounts {
				for range 20 {
					if readyAt[i] > now {
						break
					}
					wait, _ := l.Charge(now, &accounts[i], Local)
					readyAt[i], served[i], total = now+wait, served[i]+1, total+1
				}
			}
			if now%(100*time.Millisecond) == 0 {
				if wait, _ := l.Charge(now, &ordinary, Local); wait > 0 {
					t.Fatalf("seed %d: an ordinary connection waits %v beside %d others", seed, wait, connections)
				}
			}
		}
		seconds := int(duration / time.Second)
		for i, n := range served {
			if most := 100 + 100*seconds + 1; n > most {
				t.Fatalf("seed %d: connection %d got %d answers in %v, want at most %d", seed, i, n, duration, most)
			}
		}
		// Each connection has 10 answers at once and 10 a second of its own, and one each maxWait.
		if most := 1000 + 2000*seconds + connections*(10+14*seconds); total > most {
			t.Fatalf("seed %d: %d connections got %d answers in %v, want at most %d", seed, connections, total, duration, most)
		}
	}
}

// Guards against a state, or a count of states, that does not follow the connections.
func TestStatesAreCounted(t *testing.T) {
	var l Ledger
	var a, b Account
	entries := 0
	for range 150 {
		if _, entered := l.Charge(0, &a, Local); entered {
			entries++
		}
	}
	l.Charge(0, &b, Forwarded)
	if s := l.Stats(); a.state != AwaitsTurn || b.state != WithinShare || s.Waiting != 1 || entries != 1 || s.Waits != 50 {
		t.Errorf("states %d and %d, %+v, %d entries; want one connection that waits, 50 waits and one entry", a.state, b.state, s, entries)
	}
	l.Close(&a)
	if s := l.Stats(); s.Waiting != 0 {
		t.Errorf("%d connections wait after the only one was closed, want 0", s.Waiting)
	}
}
