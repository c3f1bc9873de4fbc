package discovery

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yokestall/policy"
)

var wall = time.UnixMilli(1_800_000_000_000)

const good = `{"instanceId":"a","hostPort":"10.0.0.1:80","zone":"z","cell":1,"lifecycle":"Ready","weight":1.5,"startedAtMs":1799999999000}`

// What counts of an answer with one line beside a good one, in the words "taken", "drained",
// "kept" (stays as known), "incomplete" (nobody is gone by it) or "nothing" (an error).
func TestWhatCounts(t *testing.T) {
	for line, want := range map[string]string{
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready"}`:                             "taken",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","extra":{"x":[1]}}`:           "taken",
		`{"instanceId":"b","lifecycle":"Terminating"}`:                                                "drained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Novel"}`:                             "drained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Terminating","weight":-1}`:           "drained",
		`{"instanceId":"b","hostPort":17,"lifecycle":"Terminating"}`:                                  "drained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","weight":-1}`:                 "kept",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","weight":1e30}`:               "kept",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","weight":"big"}`:              "kept",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","cell":-2}`:                   "kept",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","cell":1.5}`:                  "kept",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","startedAtMs":-5}`:            "kept",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","startedAtMs":1900000000000}`: "kept",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","startedAtMs":1e308}`:         "kept",
		`{"instanceId":"b","hostPort":"10.0.0.2","lifecycle":"Ready"}`:                                "kept",
		`{"instanceId":"b","hostPort":"10.0.0.2:99999","lifecycle":"Ready"}`:                          "kept",
		`{"instanceId":"b","hostPort":"","lifecycle":"Ready"}`:                                        "kept",
		`{"instanceId":"b","hostPort":"10.0.0.2:80"}`:                                                 "kept",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","zone":"` + long + `"}`:       "kept",
		`{"instanceId":"","hostPort":"10.0.0.2:80","lifecycle":"Ready"}`:                              "incomplete",
		`{"instanceId":7,"hostPort":"10.0.0.2:80","lifecycle":"Ready"}`:                               "incomplete",
		`{"instanceId":"` + long + `","hostPort":"10.0.0.2:80","lifecycle":"Ready"}`:                  "incomplete",
		`7`:    "incomplete",
		`null`: "incomplete",
		`[]`:   "incomplete",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Rea`: "nothing",
	} {
		known := Known{}
		known.Whole(&Answer{Reset: true, Lines: []Instance{{InstanceID: "b", HostPort: "10.0.0.9:80", Lifecycle: "Ready"}}})
		a, err := Parse([]byte(`{"generation":4,"reset":true,"instances":[`+good+`,`+line+`]}`), false, wall)
		got := "nothing"
		if err == nil {
			lines := known.Whole(a)
			i := slices.IndexFunc(lines, func(l Instance) bool { return l.InstanceID == "b" })
			switch {
			case !a.Reset && i < 0:
				got = "incomplete"
			case i < 0:
				got = "gone"
			case lines[i].State() == policy.Draining:
				got = "drained"
			case lines[i].HostPort == "10.0.0.9:80":
				got = "kept"
			default:
				got = "taken"
			}
			if lines[0].InstanceID != "a" || lines[0].Weight != 1.5 {
				t.Errorf("%s: the good line beside it became %+v", line, lines[0])
			}
			if whole := got == "taken" || got == "drained" && !strings.Contains(line, "-1") && !strings.Contains(line, "17"); whole != (a.Doubt == nil) {
				t.Errorf("%s: doubt %v", line, a.Doubt)
			}
		}
		if got != want {
			t.Errorf("%s: %s, want %s (%v)", line, got, want, err)
		}
	}
}

var long = strings.Repeat("x", MaxIDBytes+1)

func TestAnswersThatDoNotCount(t *testing.T) {
	whole := `{"generation":4,"reset":true,"instances":[` + good + `]}`
	for n := range len(whole) { // cut at each byte
		if a, err := Parse([]byte(whole[:n]), false, wall); err == nil {
			t.Fatalf("cut after %d bytes: %+v", n, a)
		}
	}
	many := strings.Repeat(`{},`, MaxInstances) + `{}`
	for name, text := range map[string]string{
		"a second one behind it": whole + whole,
		"garbage behind it":      whole + "\x00",
		"no generation":          `{"reset":true,"instances":[]}`,
		"negative generation":    `{"generation":-4,"reset":true,"instances":[]}`,
		"absurd generation":      `{"generation":1e40,"reset":true,"instances":[]}`,
		"no instances":           `{"generation":4,"reset":true}`,
		"instances of a kind":    `{"generation":4,"reset":true,"instances":{"a":1}}`,
		"an array":               `[1,2]`,
		"a page":                 `<html>busy</html>`,
		"too many lines":         `{"generation":4,"reset":true,"instances":[` + many + `]}`,
		"too many bytes":         whole + strings.Repeat(" ", MaxBytes),
		"deep":                   strings.Repeat("[", 100_000),
	} {
		if a, err := Parse([]byte(text), true, wall); err == nil {
			t.Errorf("%s: %+v", name, a)
		}
	}
	if a, err := Parse([]byte(whole+" \n"), false, wall); err != nil || a.Doubt != nil || len(a.Lines) != 1 {
		t.Errorf("a good one: %+v, %v", a, err)
	}
}

// Guards against one spoilt list that takes servers out, and against a drain that a spoilt
// line takes back: against a plain model, whatever the answers.
func TestKnownAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known, model := Known{}, map[string]policy.EndpointState{}
		for step := range rapid.IntRange(1, 12).Draw(t, "answers") {
			reset := step == 0 || rapid.Bool().Draw(t, "reset")
			var lines []string
			type said struct {
				state policy.EndpointState
				good  bool
			}
			says := map[string]said{}
			for _, id := range rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID).Draw(t, "ids") {
				name := fmt.Sprint("s", id)
				state := rapid.SampledFrom([]policy.EndpointState{policy.Ready, policy.Draining, policy.Removed}).Draw(t, "state")
				good := rapid.IntRange(0, 3).Draw(t, "spoilt") > 0
				weight := 1
				if !good {
					weight = -1
				}
				word := [...]string{policy.Ready: "Ready", policy.Draining: "Terminating", policy.Removed: "Gone"}[state]
				lines = append(lines, fmt.Sprintf(`{"instanceId":%q,"hostPort":"10.0.0.1:80","lifecycle":%q,"weight":%d}`, name, word, weight))
				says[name] = said{state, good}
			}
			text, _ := json.Marshal(map[string]any{"generation": step, "reset": reset, "instances": rawAll(lines)})
			a, err := Parse(text, false, wall)
			if err != nil {
				t.Fatal(err)
			}
			if reset {
				for name := range model {
					if _, listed := says[name]; !listed {
						delete(model, name)
					}
				}
			}
			for name, s := range says {
				if s.state == policy.Removed {
					delete(model, name)
				} else if s.good || s.state == policy.Draining {
					model[name] = s.state
				}
			}
			for _, l := range known.Whole(a) {
				if l.State() != policy.Removed && model[l.InstanceID] != l.State() {
					t.Fatalf("told %s as %v, want %v", l.InstanceID, l.State(), model[l.InstanceID])
				}
			}
			if len(known.lines) != len(model) {
				t.Fatalf("knows %v, want %v", known.lines, model)
			}
		}
	})
}

func rawAll(lines []string) []json.RawMessage {
	out := []json.RawMessage{}
	for _, l := range lines {
		out = append(out, json.RawMessage(l))
	}
	return out
}

func TestPace(t *testing.T) {
	p := Pace{First: 100 * time.Millisecond, Most: time.Second}
	for i, want := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		want *= time.Millisecond
		if i%2 == 0 {
			want /= 2
		}
		if got := p.Failed(float64(i % 2)); got != want {
			t.Errorf("failure %d: %v, want %v", i+1, got, want)
		}
	}
	p.Good()
	if got := p.Failed(1); got != p.First {
		t.Errorf("after a good answer: %v", got)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"generation":4,"reset":true,"instances":[` + good + `,{"instanceId":"a","lifecycle":"Gone"},7]}`))
	f.Add([]byte(`{"generation":4,"instances":[]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := Parse(text, false, wall)
		if err != nil {
			return
		}
		seen := map[string]bool{}
		for _, l := range a.Lines {
			if l.InstanceID == "" || seen[l.InstanceID] || l.Weight < 0 || l.Cell < 0 || l.State() == policy.Ready && l.HostPort == "" {
				t.Errorf("counts: %+v", l)
			}
			seen[l.InstanceID] = true
		}
	})
}

// Ids that have left the list are known for a while, the latest ones, and no more than a bound.
func TestSeen(t *testing.T) {
	var k Known
	for i := range 3 * MaxLeft {
		k.Whole(&Answer{Reset: true, Lines: []Instance{{InstanceID: strconv.Itoa(i), Lifecycle: "Ready"}}})
	}
	if len(k.left) != MaxLeft || !k.Seen(strconv.Itoa(3*MaxLeft-1)) || !k.Seen(strconv.Itoa(2*MaxLeft)) || k.Seen("0") || k.Seen("none") {
		t.Errorf("%d are remembered", len(k.left))
	}
}
