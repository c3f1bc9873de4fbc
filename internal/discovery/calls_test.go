package discovery

import (
	"testing"
	"time"
)

// What an agent has counts as told whether or not a call is open. Wherever a call falls silent,
// fails or is cut, it is asked again within the grace of drains, and a fifth of that is left to what
// was decided before: for every grace that settings may give.
func TestPushedWithinTheGrace(t *testing.T) {
	t.Parallel()
	const answer = 10 * time.Millisecond // the way to the agent and back, on a busy machine
	const slack = 50 * time.Millisecond  // of the protocol's rules on sockets
	for grace := 20 * time.Millisecond; grace <= 3*time.Second; grace += 7 * time.Millisecond {
		terms := Pushed(grace)
		calls, takes := terms.Ask(terms.Wait)
		found := calls.Next() + answer // the call fell silent just as it began
		if sent := found + grace/5; sent > grace+slack {
			t.Fatalf("grace %v: a silent call is found out after %v, the last send is at %v", grace, found, sent)
		}
		if p := terms.Pace; p.Failed(1)+answer+grace/5 > grace+slack || p.Most+answer+grace/5 > grace+slack {
			t.Fatalf("grace %v: after failures %v go by", grace, p.Most)
		}
		if takes < terms.Wait || terms.Look < 10*answer {
			t.Fatalf("grace %v: a call has %v, a look %v: a late machine would hear none", grace, takes, terms.Look)
		}
		// While the agent is silent a look is begun often enough, and no more are open than may be.
		open, worst, last := []time.Duration{}, time.Duration(0), time.Duration(0)
		for now := time.Duration(0); now < takes; now += time.Millisecond {
			for len(open) > 0 && now >= open[0]+terms.Look {
				open = open[1:]
				if calls.Failed() {
					t.Fatal("the first call counts on")
				}
			}
			if now >= calls.Next() && calls.Due(now) {
				open = append(open, now)
				if last > 0 {
					worst = max(worst, now-last)
				}
				last = now
			}
			if len(open)+1 > terms.Most {
				t.Fatalf("grace %v: %d calls at a time", grace, len(open)+1)
			}
		}
		if worst+answer+grace/5 > grace+slack {
			t.Fatalf("grace %v: %v between two looks", grace, worst)
		}
	}
}

// Where lists are asked for, what a silent call misses counts as told 2 s after its wait: the
// second look is made 0.8 s before that, and there is one only.
func TestAskedBeforeItCounts(t *testing.T) {
	t.Parallel()
	terms := Asked()
	calls, takes := terms.Ask(terms.Wait)
	if told := terms.Wait + 2*time.Second; calls.Next() > told-800*time.Millisecond || takes <= told {
		t.Errorf("looked again after %v, given up after %v", calls.Next(), takes)
	}
	if calls.Next() > 6*time.Second-300*time.Millisecond {
		t.Errorf("looked again after %v: discovery may have been away for a moment, right behind the call's begin", calls.Next())
	}
	looks := 0
	for now := time.Duration(0); now < takes; now += time.Millisecond {
		if calls.Due(now) {
			looks++
		}
	}
	if looks != 1 {
		t.Errorf("%d looks: each is paid for by all nodes", looks)
	}
	// A call that waits for its turn at discovery is no reason to make that queue longer.
	if now, _ := terms.Ask(0); now.Next() < 1200*time.Millisecond {
		t.Errorf("a call that asks for what there is now is doubted after %v", now.Next())
	}
}

// A question is over with its last call.
func TestCallsEnd(t *testing.T) {
	t.Parallel()
	c, _ := Pushed(time.Second).Ask(0)
	if c.Due(c.Next()-1) || !c.Due(c.Next()) {
		t.Error("a look at another time than it was due")
	}
	if c.Failed() || !c.Failed() {
		t.Error("over with another call than the last")
	}
}

// Behind a failure the news is known within 6 s of discovery's return (the protocol's figure): where a call
// fell silent just before it, this one is given up, a rest goes by, and the next call waits for its turn.
func TestAskedAgainBehindAFailure(t *testing.T) {
	t.Parallel()
	terms := Asked()
	const turn = 2 * time.Second // the longest that calls wait for theirs
	if calls, takes := terms.Ask(0); takes+terms.Rest(1)+turn > 6*time.Second || terms.Look+terms.Rest(1)+turn > 6*time.Second || calls.Next() > takes {
		t.Errorf("a call takes %v, the rest behind it %v", takes, terms.Rest(1))
	}
	if least, most := terms.Rest(0), terms.Rest(1); least <= 0 || most < 2*least {
		t.Errorf("rests from %v to %v: nodes that failed together come back together", least, most)
	}
}
