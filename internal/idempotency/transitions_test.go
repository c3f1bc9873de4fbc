package idempotency

import (
	"os"
	"strings"
	"testing"
	"time"
)

// transition is a line of the table in docs/repeats.md.
type transition struct {
	state, event string
	verdict      string // of the request that is the event; "": the event is no request
	next         string // state
}

// documentedTransitions reads the table.
func documentedTransitions(t *testing.T) (lines []transition) {
	t.Helper()
	text, err := os.ReadFile("../../docs/repeats.md")
	if err != nil {
		t.Fatal(err)
	}
	inTable := false
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 4 {
			inTable = false
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if inTable && cells[0] != "---" {
			lines = append(lines, transition{cells[0], cells[1], cells[2], cells[3]})
		}
		inTable = inTable || cells[0] == "state"
	}
	return lines
}

const testWindow = time.Minute

// subject is a store with one key in a state.
type subject struct {
	*Store
	entry       *Entry // nil in state none
	fingerprint Fingerprint
	now         time.Duration
}

var subjectKey = Key{Name: "k"}

func newSubject(t *testing.T, state string) *subject {
	t.Helper()
	s := &subject{Store: New(Limits{Entries: 4, Bytes: 1 << 20, Joiners: 4, Tenants: 1}), fingerprint: Fingerprint{1}}
	if state == "none" {
		return s
	}
	_, s.entry, _ = s.Begin(0, subjectKey, s.fingerprint, testWindow, true)
	switch state {
	case "running":
	case "cached":
		s.Complete(0, s.entry, Answered, "outcome", 7)
	case "answered":
		s.Complete(0, s.entry, Answered, nil, 0)
	case "unknown":
		s.Complete(0, s.entry, Indeterminate, nil, 0)
	default:
		t.Fatalf("unknown state %q", state)
	}
	return s
}

// request gives the verdict on a request under the key.
func (s *subject) request(canWait bool) Verdict {
	v, _, _ := s.Begin(s.now, subjectKey, s.fingerprint, testWindow, canWait)
	return v
}

// apply has an event happen, and gives the verdict if it is a request.
func (s *subject) apply(t *testing.T, event string) (v Verdict, isRequest bool) {
	t.Helper()
	switch event {
	case "request":
		return s.request(true), true
	case "request that can't wait":
		return s.request(false), true
	case "request with another fingerprint":
		first := s.fingerprint
		s.fingerprint = Fingerprint{2}
		v = s.request(true)
		if s.entry != nil { // else it is the first
			s.fingerprint = first
		}
		return v, true
	case "completes rejected":
		s.Complete(s.now, s.entry, Rejected, nil, 0)
	case "completes answered":
		s.Complete(s.now, s.entry, Answered, nil, 0)
	case "completes answered, cached":
		s.Complete(s.now, s.entry, Answered, "outcome", 7)
	case "completes indeterminate":
		s.Complete(s.now, s.entry, Indeterminate, nil, 0)
	case "late answer":
		s.CompleteLate(s.now, s.entry, nil, 0)
	case "late answer, cached":
		s.CompleteLate(s.now, s.entry, "outcome", 7)
	case "window ends":
		s.now = testWindow
	default:
		t.Fatalf("unknown event %q", event)
	}
	return 0, false
}

// state is the key's, by what a request gets.
func (s *subject) state(t *testing.T) string {
	t.Helper()
	switch v, e, _ := s.Begin(s.now, subjectKey, s.fingerprint, testWindow, true); {
	case v == First:
		return "none"
	case v == Joined:
		return "running"
	case v == Replayed && e.Outcome != nil:
		return "cached"
	case v == Replayed:
		return "answered"
	case v == OutcomeUnknown:
		return "unknown"
	default:
		t.Fatalf("verdict %d", v)
		return ""
	}
}

// Each line of the table in docs/repeats.md, on a store of its own; and no line is missing.
func TestTransitions(t *testing.T) {
	verdicts := map[string]Verdict{
		"First": First, "Joined": Joined, "InProgress": InProgress,
		"Replayed": Replayed, "OutcomeUnknown": OutcomeUnknown, "Mismatch": Mismatch,
	}
	documented := map[string]bool{}
	for _, line := range documentedTransitions(t) {
		documented[line.state+"/"+line.event] = true
		s := newSubject(t, line.state)
		got, isRequest := s.apply(t, line.event)
		want, known := verdicts[line.verdict]
		if known != (line.verdict != "") || known != isRequest || isRequest && got != want {
			t.Errorf("%s, %s: a request gets %d, want %s", line.state, line.event, got, line.verdict)
		}
		if next := s.state(t); next != line.next {
			t.Errorf("%s, %s: the next state is %s, want %s", line.state, line.event, next, line.next)
		}
	}
	completions := []string{
		"completes rejected", "completes answered", "completes answered, cached", "completes indeterminate",
	}
	for state, events := range map[string][]string{
		"none":     nil,
		"running":  append(completions, "window ends"),
		"cached":   {"late answer", "window ends"},
		"answered": {"late answer", "window ends"},
		"unknown":  {"late answer", "late answer, cached", "window ends"},
	} {
		requests := []string{"request", "request that can't wait", "request with another fingerprint"}
		for _, event := range append(events, requests...) {
			if !documented[state+"/"+event] {
				t.Errorf("the table has no line for %s, %s", state, event)
			}
		}
	}
}
