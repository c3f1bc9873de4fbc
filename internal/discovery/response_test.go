package discovery

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"yokestall/policy"
)

// How one line beside a valid one is used: "used", "drained" (for its lifecycle alone), "retained" (the instance stays
// as it was), "delta" (nothing is removed because the response does not name it) or "invalid response".
func TestParseResponseUseOfLine(t *testing.T) {
	for line, want := range map[string]string{
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready"}`:                             "used",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","extra":{"x":[1]}}`:           "used",
		`{"instanceId":"b","lifecycle":"Terminating"}`:                                                "drained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Novel"}`:                             "drained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Terminating","weight":-1}`:           "drained",
		`{"instanceId":"b","hostPort":17,"lifecycle":"Terminating"}`:                                  "drained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","weight":-1}`:                 "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","weight":1e30}`:               "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","weight":"big"}`:              "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","cell":-2}`:                   "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","cell":1.5}`:                  "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","startedAtMs":-5}`:            "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","startedAtMs":1900000000000}`: "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","startedAtMs":1e308}`:         "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2","lifecycle":"Ready"}`:                                "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:99999","lifecycle":"Ready"}`:                          "retained",
		`{"instanceId":"b","hostPort":"","lifecycle":"Ready"}`:                                        "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80"}`:                                                 "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","zone":"` + overlong + `"}`:   "retained",
		`{"instanceId":"","hostPort":"10.0.0.2:80","lifecycle":"Ready"}`:                              "delta",
		`{"instanceId":7,"hostPort":"10.0.0.2:80","lifecycle":"Ready"}`:                               "delta",
		`{"instanceId":"` + overlong + `","hostPort":"10.0.0.2:80","lifecycle":"Ready"}`:              "delta",
		`7`:    "delta",
		`null`: "delta",
		`[]`:   "delta",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Rea`: "invalid response",
	} {
		response, err := parseWithValidLine(line)
		got := "invalid response"
		if err == nil {
			got = useOfLine(t, response)
			invalidField := strings.Contains(line, "-1") || strings.Contains(line, "17")
			complete := got == "used" || got == "drained" && !invalidField
			if complete != (response.Incomplete == nil) {
				t.Errorf("%s: incomplete: %v", line, response.Incomplete)
			}
		}
		if got != want {
			t.Errorf("%s: %s, want %s (%v)", line, got, want, err)
		}
	}
}

// parseWithValidLine parses a full response with a valid line and the given one.
func parseWithValidLine(line string) (*Response, error) {
	body := `{"generation":4,"reset":true,"instances":[` + validLine + `,` + line + `]}`
	return ParseResponse([]byte(body), false, now)
}

// useOfLine says what becomes of instance "b" on a list that has it, and checks that the valid line is used.
func useOfLine(t *testing.T, response *Response) string {
	list := List{}
	earlier := Instance{InstanceID: "b", HostPort: "10.0.0.9:80", Lifecycle: "Ready"}
	list.Apply(&Response{Full: true, Instances: []Instance{earlier}})
	instances := list.Apply(response)
	if instances[0].InstanceID != "a" || instances[0].Weight != 1.5 {
		t.Errorf("the valid line became %+v", instances[0])
	}
	i := slices.IndexFunc(instances, func(instance Instance) bool { return instance.InstanceID == "b" })
	switch {
	case !response.Full && i < 0:
		return "delta"
	case i < 0:
		return "removed"
	case instances[i].State() == policy.Draining:
		return "drained"
	case instances[i].HostPort == "10.0.0.9:80":
		return "retained"
	}
	return "used"
}

func TestParseResponseInvalid(t *testing.T) {
	valid := `{"generation":4,"reset":true,"instances":[` + validLine + `]}`
	for n := range len(valid) { // cut at each byte
		if response, err := ParseResponse([]byte(valid[:n]), false, now); err == nil {
			t.Fatalf("cut after %d bytes: %+v", n, response)
		}
	}
	tooMany := strings.Repeat(`{},`, MaxInstances) + `{}`
	for name, body := range map[string]string{
		"a second one after it":  valid + valid,
		"garbage after it":       valid + "\x00",
		"no generation":          `{"reset":true,"instances":[]}`,
		"negative generation":    `{"generation":-4,"reset":true,"instances":[]}`,
		"generation too large":   `{"generation":1e40,"reset":true,"instances":[]}`,
		"no instances":           `{"generation":4,"reset":true}`,
		"instances of a kind":    `{"generation":4,"reset":true,"instances":{"a":1}}`,
		"an array":               `[1,2]`,
		"a page":                 `<html>busy</html>`,
		"too many lines":         `{"generation":4,"reset":true,"instances":[` + tooMany + `]}`,
		"too many bytes":         valid + strings.Repeat(" ", MaxResponseBytes),
		"too deep for a decoder": strings.Repeat("[", 100_000),
	} {
		if response, err := ParseResponse([]byte(body), true, now); err == nil {
			t.Errorf("%s: %+v", name, response)
		}
	}
	response, err := ParseResponse([]byte(valid+" \n"), false, now)
	if err != nil || response.Incomplete != nil || len(response.Instances) != 1 {
		t.Errorf("a valid one: %+v, %v", response, err)
	}
}

// The error of an incomplete response names the first line that is unusable, and its cause.
func TestResponseIncomplete(t *testing.T) {
	for _, c := range []struct {
		lines, text string
		duplicate   bool
	}{
		{validLine + `,` + validLine, `line 2, instance "a": duplicate instanceId`, true},
		{`{"instanceId":"b"},{}`, `line 1, instance "b": lifecycle is missing`, false},
		{validLine + `,{}`, `line 2: instanceId is missing`, false},
	} {
		body := `{"generation":4,"reset":true,"instances":[` + c.lines + `]}`
		response, err := ParseResponse([]byte(body), false, now)
		if err != nil {
			t.Fatal(err)
		}
		if response.Incomplete == nil || response.Incomplete.Error() != c.text {
			t.Errorf("%s: %v, want %s", c.lines, response.Incomplete, c.text)
			continue
		}
		var field *FieldError
		isDuplicate, isField := errors.Is(response.Incomplete, ErrDuplicateID), errors.As(response.Incomplete, &field)
		if isDuplicate != c.duplicate || isField == c.duplicate {
			t.Errorf("%s: the cause is %T", c.lines, response.Incomplete.Err)
		}
	}
}

func FuzzParseResponse(f *testing.F) {
	f.Add([]byte(`{"generation":4,"reset":true,"instances":[` + validLine + `,{"instanceId":"a","lifecycle":"Gone"},7]}`))
	f.Add([]byte(`{"generation":4,"instances":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		response, err := ParseResponse(body, false, now)
		if err != nil {
			return
		}
		seen := map[string]bool{}
		for _, instance := range response.Instances {
			noAddress := instance.State() == policy.Ready && instance.HostPort == ""
			if instance.InstanceID == "" || seen[instance.InstanceID] || instance.Weight < 0 || instance.Cell < 0 || noAddress {
				t.Errorf("used: %+v", instance)
			}
			seen[instance.InstanceID] = true
		}
	})
}

// rawLines returns lines as they stand in a response.
func rawLines(lines []string) []json.RawMessage {
	raw := []json.RawMessage{}
	for _, line := range lines {
		raw = append(raw, json.RawMessage(line))
	}
	return raw
}
