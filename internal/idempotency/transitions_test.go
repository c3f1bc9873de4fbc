package idempotency

import (
	"os"
	"strings"
	"testing"
	"time"
)

// transition is a row of the state table in docs/repeats.md.
type transition struct {
	state, event string
	verdict      string // on the request; "" if the event is not a request
	next         string // the state after the event
}

// documentedTransitions returns the rows of the state table in docs/repeats.md.
func documentedTransitions(t *testing.T) (rows []transition) {
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
			rows = append(rows, transition{cells[0], cells[1], cells[2], cells[3]})
		}
		inTable = inTable || cells[0] == "state"
	}
	return rows
}

const testWindow = time.Minute

// singleKeyStore is a store in which at most testKey has an entry.
type singleKeyStore struct {
	*Store
	entry       *Entry // nil in the state none
	fingerprint Fingerprint
	now         time.Duration
}

var testKey = Key{Name: "k"}

// newSingleKeyStore returns a store in which testKey is in the given state.
func newSingleKeyStore(t *testing.T, state string) *singleKeyStore {
	t.Helper()
	s := &singleKeyStore{Store: New(Limits{Entries: 4, Bytes: 1 << 20, Joiners: 4, Tenants: 1}), fingerprint: Fingerprint{1}}
	if state == "none" {
		return s
	}
	_, s.entry, _ = s.Begin(0, testKey, s.fingerprint, testWindow, true)
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

// request submits a request under testKey and returns the verdict.
func (s *singleKeyStore) request(canWait bool) Verdict {
	v, _, _ := s.Begin(s.now, testKey, s.fingerprint, testWindow, canWait)
	return v
}

// apply applies an event to the store. If the event is a request, it returns the verdict.
func (s *singleKeyStore) apply(t *testing.T, event string) (v Verdict, isRequest bool) {
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
		if s.entry != nil { // without an entry, the request is the first under the key
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

// state returns the state of testKey, derived from the verdict on another request under it.
func (s *singleKeyStore) state(t *testing.T) string {
	t.Helper()
	switch v, e, _ := s.Begin(s.now, testKey, s.fingerprint, testWindow, true); {
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
		t.Fatalf("verdict %d belongs to no state", v)
		return ""
	}
}

// Guards against a state table in docs/repeats.md that differs from the store: each row is checked on a new store, and each
// combination of state and event must have a row.
func TestTransitions(t *testing.T) {
	verdicts := map[string]Verdict{
		"First": First, "Joined": Joined, "InProgress": InProgress,
		"Replayed": Replayed, "OutcomeUnknown": OutcomeUnknown, "Mismatch": Mismatch,
	}
	documented := map[string]bool{}
	for _, row := range documentedTransitions(t) {
		documented[row.state+"/"+row.event] = true
		s := newSingleKeyStore(t, row.state)
		got, isRequest := s.apply(t, row.event)
		want, known := verdicts[row.verdict]
		if known != (row.verdict != "") || known != isRequest || isRequest && got != want {
			t.Errorf("state %s, event %s: got verdict %d, want %s", row.state, row.event, got, row.verdict)
		}
		if next := s.state(t); next != row.next {
			t.Errorf("state %s, event %s: got next state %s, want %s", row.state, row.event, next, row.next)
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
				t.Errorf("docs/repeats.md has no row for state %s, event %s", state, event)
			}
		}
	}
}
